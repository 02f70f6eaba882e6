"""Stand-ins for the scripts of this review: the platform's store, servers, entry VMs as processes, and clients.

All of them use the loopback. A script makes a Case, runs it, and ends with the exit code that the case gives.
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = 'h.example'
PROMISES = (408, 421, 429, 503)


class CannotRun(Exception):
    """The case could not be played, so that it shows nothing."""


class Head:
    def __init__(self, text):
        lines = text.decode('latin-1').split('\r\n')
        self.start = lines[0]
        self.fields = {}
        for line in lines[1:]:
            name, colon, value = line.partition(':')
            if colon:
                self.fields[name.lower()] = value.strip()

    def get(self, name):
        return self.fields.get(name.lower(), '')

    @property
    def target(self):
        return self.start.split(' ')[1]


def message(start, headers, body=b''):
    lines = [start] + [f'{name}: {value}' for name, value in headers] + [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode() + body


async def read_message(reader):
    head = Head((await reader.readuntil(b'\r\n\r\n'))[:-4])
    return head, await reader.readexactly(int(head.get('content-length') or 0))


def free_port(ip):
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


class Listener:
    def __init__(self, case):
        self.case = case
        self.writers = set()
        self.server = None
        self.address = None
        self.port = 0

    async def open(self):
        """Listens at the port that it had before, or at a free one that no outgoing connection is given."""
        for _ in range(100):
            port = self.port or random.randrange(12000, 30000)
            try:
                self.server = await asyncio.start_server(self.accept, '127.0.0.1', port, limit=1 << 20)
                break
            except OSError:
                if self.port:
                    await asyncio.sleep(0.02)
        else:
            raise CannotRun('no free port')
        self.port = port
        self.address = f'127.0.0.1:{self.port}'
        return self

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the connection has ended, or the case has
        finally:
            self.writers.discard(writer)
            writer.close()

    def drop(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.drop()


class Store(Listener):
    """The platform's log. An era is named if it is set."""

    def __init__(self, case):
        super().__init__(case)
        self.topics = collections.defaultdict(list)
        self.changed = asyncio.Event()
        self.era = None
        self.up = True

    def put(self, topic, key, value):
        self.topics[topic].append((key, value))
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            path, _, text = head.target.partition('?')
            query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
            status, answer = await self.answer(path, query, body)
            if not self.up:
                writer.transport.abort()
                return
            era = [('Store-Era', self.era)] if self.era is not None else []
            writer.write(message(f'HTTP/1.1 {status} x', era, answer))
            await writer.drain()

    async def answer(self, path, query, body):
        topic = query['topic']
        if path == '/api/log-newest':
            return 200, json.dumps(self.listing(topic, query.get('after', ''))).encode()
        if path == '/api/log-read':
            return await self.read(topic, query)
        records = self.topics[topic]
        if 'at' in query and int(query['at']) != len(records):
            return 412, json.dumps({'end': len(records)}).encode()
        first = len(records)
        while body:
            size = int.from_bytes(body[:4], 'big')
            content, body = body[4:4 + size], body[4 + size:]
            key_size = content[0]
            self.put(topic, content[1:1 + key_size].decode(), content[1 + key_size:])
        self.case.on_append(topic)
        return 200, json.dumps({'offset': first, 'end': len(self.topics[topic])}).encode()

    def listing(self, topic, after):
        newest = {}
        for offset, (key, value) in enumerate(self.topics[topic]):
            newest.pop(key, None)
            if value:
                newest[key] = (value, offset)
        left = sorted(key for key in newest if key > after)
        items = [{'key': key, 'value': base64.b64encode(newest[key][0]).decode(), 'offset': newest[key][1]}
                 for key in left[:500]]
        return {'items': items, 'has-more': len(items) < len(left), 'end': len(self.topics[topic])}

    async def read(self, topic, query):
        first = int(query['from'])
        end = time.monotonic() + int(query.get('wait-ms', 0)) / 1000
        era = self.era
        while len(self.topics[topic]) <= first and time.monotonic() < end and self.up and era == self.era:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        records = self.topics[topic]
        if first > len(records):
            return 410, json.dumps({'first': 0}).encode()
        answer = len(records).to_bytes(8, 'big') + bytes(8)
        for key, value in records[first:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            answer += len(content).to_bytes(4, 'big') + content
        return 200, answer


class Server(Listener):
    """A plain or model server that runs what it is sent. A model server holds what it is ordered to."""

    def __init__(self, case, name, service, zone='z0', engine=None, version='v1', slots=64):
        super().__init__(case)
        self.name, self.service, self.zone, self.engine = name, service, zone, engine
        self.version, self.slots = version, slots
        self.born = int(time.time() * 1000)
        self.held = {}
        self.orders = 0
        self.fence = 0
        self.running = 0

    def entry(self, state='ready'):
        entry = {'service': self.service, 'address': self.address, 'zone': self.zone, 'version': self.version,
                 'slots': self.slots, 'state': state, 'cold-left-ms': 0, 'born': self.born, 'sequence': self.orders}
        if self.engine:
            entry |= {'stage': 'both', 'models': self.models()}
        return entry

    def list(self, state='ready'):
        self.case.store.put('keyed.servers', self.name, json.dumps(self.entry(state)).encode())

    def unlist(self):
        self.case.store.put('keyed.servers', self.name, b'')

    def models(self):
        now = time.monotonic()
        return [{'name': self.engine, 'version': 1,
                 'adapters': [f'{name}@1' for name, ready in self.held.items() if ready <= now]}]

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            if head.get('target-instance') and head.get('target-instance') != self.name:
                own = [('Not-Executed', '1'), ('Instance-Id', self.name), ('Attempt-Id', head.get('attempt-id'))]
                writer.write(message('HTTP/1.1 421 other', own))
            elif head.target == '/api/report':
                writer.write(message('HTTP/1.1 200 OK', [], json.dumps(self.report()).encode()))
            elif head.target == '/api/order':
                writer.write(message(f'HTTP/1.1 {self.order(json.loads(body))} x', [], b'{}'))
            elif not await self.run(head, body, writer):
                return
            await writer.drain()

    def report(self):
        now = time.monotonic()
        coming = [f'{self.engine}/{name}@1' for name, ready in self.held.items() if ready > now]
        return {'stage': 'both', 'models': self.models(), 'coming': coming, 'busy': False, 'sequence': self.orders,
                'queued': 0, 'running': self.running, 'kv-used': 0, 'kv-total': 153119, 'handles': 0,
                'born': self.born}

    def order(self, order):
        self.case.on_order(self, order)
        if self.case.fencing and order['fencing-token'] < self.fence:
            return 412
        self.fence = max(self.fence, order['fencing-token'])
        if order.get('expected', self.orders) != self.orders:
            return 409
        adapter = order.get('adapter', '')
        if order['operation'] == 'load' and adapter and adapter not in self.held:
            self.held[adapter] = time.monotonic() + 0.25
        elif order['operation'] == 'unload' and adapter in self.held:
            del self.held[adapter]
        else:
            return 200
        self.orders += 1
        return 202

    async def run(self, head, body, writer):
        adapter = head.get('model').partition('/')[2]
        if adapter and self.held.get(adapter, 1e18) > time.monotonic():
            own = [('Not-Executed', '1'), ('Attempt-Id', head.get('attempt-id'))]
            writer.write(message('HTTP/1.1 421 not held', own))
            return True
        self.case.on_run(self, head, body)
        self.running += 1
        try:
            return await self.case.answer(self, head, body, writer)
        finally:
            self.running -= 1

    def own_headers(self, head):
        attempt = head.get('attempt-id')
        return [('Attempt-Id', attempt), ('Server-Seal', f'{self.name}.{attempt}')]

    async def stream(self, head, writer, events, pause):
        lines = [f'{name}: {value}' for name, value in self.own_headers(head)]
        writer.write('\r\n'.join(['HTTP/1.1 200 OK', *lines, 'Content-Type: text/event-stream',
                                  'Transfer-Encoding: chunked', '', '']).encode())
        for number in range(int(head.get('last-event-id') or 0) + 1, events + 1):
            event = f'id: {number}\ndata: {self.name}\n\n'.encode()
            writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


class Vm:
    """One entry VM: a process of the deploy file's program."""

    def __init__(self, case, number, zone, settings):
        self.case, self.zone = case, zone
        self.ip = f'127.{case.network}.{number + 1}'
        self.name = f'front-{zone}-{number}'
        self.port, self.ready_port = free_port(self.ip), free_port(self.ip)
        self.path = case.folder / f'{self.name}.conf'
        self.log = case.folder / f'{self.name}.log'
        self.process = None
        self.ends = 0  # of the process by the platform's limits or by itself
        self.restarting = True
        internal = f'{free_port(self.ip)},{free_port(self.ip)}'
        fields = {'node-name': self.name, 'role': 'entry', 'machine-class': 'front', 'serves': 'front', 'ip': self.ip,
                  'zone': zone, 'region': 'r', 'listen.front': f'{self.ip}:{self.port}',
                  'listen.ready': f'{self.ip}:{self.ready_port}', 'internal-ports': internal,
                  'platform.address': case.store_address(self), **settings}
        self.path.write_text(''.join(f'{name}={value}\n' for name, value in fields.items()))

    async def start(self):
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                str(self.case.program), stdout=log, stderr=log, cwd=ROOT,
                env={'PATH': os.environ.get('PATH', ''), 'LACEWINGDALE_SETTINGS': str(self.path)})

    @property
    def runs(self):
        return self.process is not None and self.process.returncode is None

    def send(self, number):
        if self.runs:
            self.process.send_signal(number)

    async def restart(self, number=signal.SIGKILL, pause=0.3):
        self.send(number)
        await self.process.wait()
        await asyncio.sleep(pause)
        await self.start()

    def memory_mb(self):
        try:
            text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0.0
        return next((int(line.split()[1]) / 1024 for line in text.splitlines() if line.startswith('RssAnon')), 0.0)

    async def await_rotation(self, timeout=5.0):
        """Waits until the platform sends new connections: it asks once a second, here from a random moment on."""
        end = time.monotonic() + timeout
        await asyncio.sleep(random.random())
        while not await self.is_ready():
            if time.monotonic() > end:
                raise CannotRun(f'{self.name} does not get ready')
            await asyncio.sleep(1.0)
        self.case.note(f'the platform sends new connections to {self.name}')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.ready_port), 1)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n')
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.transport.abort()
            return b' 200 ' in line
        except (OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self):
        self.status = 0  # 0: the connection ended before a head
        self.head = None
        self.body = b''
        self.whole = False
        self.connected = False


async def ask(vm, target, attempt, timeout, headers=(), body=b'', method='POST'):
    """Sends one request on a connection of its own and reads the answer to its end."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(vm.ip, vm.port), 1)
        answer.connected = True
        fields = [('Host', HOST), ('Attempt-Id', attempt), ('Deadline-Ms', int(timeout * 1000)), *headers]
        await asyncio.wait_for(exchange(reader, writer, message(f'{method} {target} HTTP/1.1', fields, body), answer),
                               timeout)
    except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError):
        pass
    finally:
        if writer:
            writer.transport.abort()
    return answer


async def exchange(reader, writer, request, answer):
    writer.write(request)
    head = Head((await reader.readuntil(b'\r\n\r\n'))[:-4])
    answer.head, answer.status = head, int(head.start.split(' ')[1])
    if head.get('transfer-encoding') != 'chunked':
        answer.body = await reader.readexactly(int(head.get('content-length') or 0))
    else:
        while size := int(await reader.readuntil(b'\r\n'), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    answer.whole = True


BOUNDS = {
    'fault-tolerance.machines': 2, 'fault-tolerance.zones': 1, 'bounds.seed-lag-s': 3, 'bounds.addr-reuse-s': 2,
    'bounds.contact-ms': 3000, 'bounds.ack-ms': 4000, 'bounds.catch-up-s': 4, 'bounds.drain-ms': 2000,
    'bounds.grace-s': 8, 'bounds.loss-slack-ms': 200, 'bounds.config-apply-ms': 2000,
    'bounds.rollback-slack-ms': 250, 'bounds.max-stretch-ms': 5000, 'bounds.retry-budget-ratio': 0.2,
    'bounds.budget-window-s': 10, 'bounds.retry-slack': 58, 'bounds.recovery-s': 12, 'bounds.pass-ms': 120,
    'bounds.fencing-required': 'true', 'bounds.lease-ms': 3000, 'bounds.thaw-slack-ms': 300,
    'bounds.ceiling-window-s': 5, 'bounds.ceiling-overshoot': 1.1, 'bounds.version_ms': 5000,
    'limits.cpu-share': 0.25, 'limits.cores': 1, 'limits.memory-mb': 260, 'limits.max-fds': 4100,
    'heartbeat-ms': 1200, 'platform.form': 'log', 'platform.keep_s': 300}


class Case:
    """One run: a store, servers, VMs, and what the script does with them."""
    fencing = True
    zones = ('z0', 'z1', 'z2')  # one VM each
    seconds = 110

    def __init__(self, folder):
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        self.out = pathlib.Path(folder)
        self.program = ROOT / 'target' / 'lacewing-entry'
        self.network = f'{random.randrange(10, 250)}.{random.randrange(1, 250)}'
        self.record = open(self.out / 'record.txt', 'w')
        self.began = time.monotonic()
        self.store = Store(self)
        self.servers, self.vms = [], []
        self.runs = collections.defaultdict(list)  # attempt: (time, server)
        self.broken = []
        self.folder = None

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        self.record.write(f'{self.now():8.3f} {text}\n')
        self.record.flush()

    def fail(self, text):
        self.broken.append(text)
        self.note(f'BROKEN {text}')

    # What stand-ins report

    def on_append(self, topic):
        pass

    def on_order(self, server, order):
        pass

    def on_run(self, server, head, body):
        self.runs[head.get('attempt-id')].append((self.now(), server.name))
        self.note(f'run {head.get("attempt-id")} at {server.name}')

    async def answer(self, server, head, body, writer):
        writer.write(message('HTTP/1.1 200 OK', server.own_headers(head), b'done'))
        return True

    def store_address(self, vm):
        return self.store.address

    def settings(self):
        more = {'bounds.fencing-required': 'true' if self.fencing else 'false'}
        return {**BOUNDS, **{f'zones.{zone}': 'r' for zone in self.zones}, **more}

    async def start_vms(self):
        self.vms = [Vm(self, number, zone, self.settings()) for number, zone in enumerate(self.zones)]
        await asyncio.gather(*(vm.start() for vm in self.vms))
        end = time.monotonic() + 20
        while not all(await asyncio.gather(*(vm.is_ready() for vm in self.vms))):
            if time.monotonic() > end:
                raise CannotRun('the VMs do not get ready')
            await asyncio.sleep(0.1)
        self.note('all VMs are ready')

    async def play(self):
        raise NotImplementedError

    async def run_all(self):
        if not self.program.exists():
            raise CannotRun('the program of the deploy file is not built')
        await self.store.open()
        try:
            await asyncio.wait_for(self.play(), self.seconds)
        finally:
            for vm in self.vms:
                vm.send(signal.SIGCONT)
                if vm.runs:
                    vm.process.kill()
                    await vm.process.wait()
            for one in [*self.servers, self.store]:
                one.close()


def main(case_class, folder):
    case = case_class(folder)
    with tempfile.TemporaryDirectory() as name:
        case.folder = pathlib.Path(name)
        try:
            asyncio.run(case.run_all())
        except Exception as error:  # whatever it is, the rule was not seen broken
            case.note(f'could not run: {type(error).__name__} {error}')
            print(f'could not run: {type(error).__name__} {error}')
            sys.exit(2)
        finally:
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                for log in case.folder.glob('*.log'):
                    (pathlib.Path(keep) / log.name).write_bytes(log.read_bytes())
    case.note('held' if not case.broken else f'broken: {len(case.broken)}')
    print('held' if not case.broken else f'broken: {case.broken[0]}')
    sys.exit(1 if case.broken else 0)
