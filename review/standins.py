"""Stand-ins for the platform's store, the servers and the clients, and lacewing-entry as separate processes.

All addresses are loopback addresses, the clock is the real one. A case derives its servers from Server and ends with
Case.finish(), which writes record.txt and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run).
"""

import asyncio
import base64
import collections
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be set up."""


class Head:
    """Start line and headers of a message."""

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


async def read_head(reader):
    return Head((await reader.readuntil(b'\r\n\r\n'))[:-4])


async def read_message(reader):
    head = await read_head(reader)
    return head, await reader.readexactly(int(head.get('content-length') or 0))


def message(start, headers, body=b''):
    lines = [start] + [f'{name}: {value}' for name, value in headers] + [f'Content-Length: {len(body)}', '', '']
    return '\r\n'.join(lines).encode('latin-1') + body


def free_port(ip='127.0.0.1', kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


def free_internal_port():
    """@return first of the internal ports; the range behind it fits"""
    while (port := free_port(kind=socket.SOCK_DGRAM)) > 65000:
        pass
    return port


class Listener:
    """Accepts connections on the loopback until it is closed."""

    def __init__(self):
        self.writers = set()
        self.address = None
        self.server = None

    async def open(self, port=0):
        self.server = await asyncio.start_server(self.accept, '127.0.0.1', port)
        self.address = f'127.0.0.1:{self.server.sockets[0].getsockname()[1]}'
        return self

    async def accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Listener):
    """The platform's store: keyed topics and logs with one partition each."""

    def __init__(self, case):
        super().__init__()
        self.case = case
        self.topics = collections.defaultdict(list)  # topic: records (key, value)
        self.changed = asyncio.Event()
        self.up = True

    def put(self, topic, key, value):
        """@return position behind the record; the record is acknowledged with the return"""
        self.topics[topic].append((key, value if isinstance(value, bytes) else json.dumps(value).encode()))
        self.changed.set()
        self.changed = asyncio.Event()
        return len(self.topics[topic])

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            method, target, _ = head.start.split(' ')
            path, _, text = target.partition('?')
            query = dict(part.split('=', 1) for part in text.split('&') if part)
            await asyncio.sleep(0.004)
            status, answer = await self.answer(path, query, body)
            writer.write(message(f'HTTP/1.1 {status} x', [], answer))
            await writer.drain()

    async def answer(self, path, query, body):
        records = self.topics[query.get('topic', '')]
        if path == '/api/log-newest':
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{'key': key, 'value': base64.b64encode(value).decode(), 'offset': offset}
                     for key, (value, offset) in newest.items()]
            return 200, json.dumps({'items': items, 'has-more': False, 'end': len(records)}).encode()
        if path == '/api/log-read':
            return 200, await self.read(records, int(query['from']), int(query.get('wait-ms', 0)) / 1000)
        if path != '/api/log-append':
            return 404, b''
        if 'at' in query and int(query['at']) != len(records):
            return 412, json.dumps({'end': len(records)}).encode()
        first = len(records)
        while body:
            size = int.from_bytes(body[:4], 'big')
            content, body = body[4:4 + size], body[4 + size:]
            self.put(query['topic'], content[1:1 + content[0]].decode(), content[1 + content[0]:])
        return 200, json.dumps({'offset': first, 'end': len(records)}).encode()

    async def read(self, records, first, wait):
        end = time.monotonic() + wait
        while len(records) <= first and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            except asyncio.TimeoutError:
                break
        answer = len(records).to_bytes(8, 'big') + bytes(8)
        for key, value in records[first:]:
            content = bytes([len(key)]) + key.encode() + value
            answer += len(content).to_bytes(4, 'big') + content
        return answer


class Server(Listener):
    """A server of a plain service. Runs are recorded as soon as the server begins to work on a request."""

    def __init__(self, case, name, service, zone='z-a', slots=6):
        super().__init__()
        self.case = case
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.sequence = 0
        self.work = 0.03

    def list(self, state='ready', **more):
        self.sequence += 1
        entry = {'service': self.service, 'address': self.address, 'zone': self.zone, 'version': 'v1',
                 'slots': self.slots, 'state': state, 'cold-left-ms': 0, 'sequence': self.sequence, **more}
        self.case.store.put('keyed.servers', self.name, entry)

    def unlist(self):
        self.case.store.put('keyed.servers', self.name, b'')

    def marks(self, head, *more):
        return [('Attempt-Id', head.get('attempt-id')), *more]

    def rejection(self, head):
        return message('HTTP/1.1 503 Service Unavailable', self.marks(head, ('Not-Executed', '1')))

    def seal(self, head):
        return ('Server-Seal', f'{self.name}.{head.get("attempt-id")}')

    def ran(self, head):
        self.case.ran(self, head.get('attempt-id'))

    async def serve(self, reader, writer):
        while True:
            head, body = await read_message(reader)
            if head.get('target-instance') not in ('', self.name):
                writer.write(message('HTTP/1.1 421 Misdirected Request', self.marks(head, ('Instance-Id', self.name))))
            elif head.start.startswith('GET /health '):
                writer.write(message('HTTP/1.1 200 OK', [('Instance-Id', self.name)]))
            else:
                await self.answer(head, body, writer)
            await writer.drain()

    async def answer(self, head, body, writer):
        self.ran(head)
        await asyncio.sleep(self.work)
        writer.write(message('HTTP/1.1 200 OK', self.marks(head, self.seal(head)), b'done ' + body))


class Vm:
    """One lacewing-entry process."""

    def __init__(self, case, number, zone):
        self.case = case
        self.name = f'vm{number}'
        self.zone = zone
        self.ip = f'127.{os.getpid() % 200 + 20}.{number + 1}.1'
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.process = None
        self.path = case.folder / f'{self.name}.conf'
        self.log = case.folder / f'{self.name}.log'

    def write_settings(self, **changes):
        internal = self.case.internal_port
        settings = {
            'node-name': self.name, 'role': 'entry', 'machine-class': 'front', 'serves': 'front', 'ip': self.ip,
            'zone': self.zone, 'region': 'r', **{f'zones.{zone}': 'r' for zone in self.case.zones},
            'listen.front': f'{self.ip}:{self.port}', 'listen.ready': f'{self.ip}:{self.ready_port}',
            'internal-ports': f'{internal},{internal + 15}', 'bootstrap': 'true', 'limits.cpu-share': 0.25,
            'limits.cores': 1, 'limits.memory-mb': 260, 'limits.max-fds': 4100, 'limits.link-mbps': 1000.0,
            'discovery': 'platform', 'entry': 'vip', 'heartbeat-ms': 1200,
            'bounds.seed-lag-s': 3, 'bounds.addr-reuse-s': 2, 'bounds.contact-ms': 3000, 'bounds.ack-ms': 4000,
            'bounds.catch-up-s': 4, 'bounds.drain-ms': 2000, 'bounds.grace-s': 8, 'bounds.loss-slack-ms': 200,
            'bounds.config-apply-ms': 2000, 'bounds.rollback-slack-ms': 250, 'bounds.max-stretch-ms': 5000,
            'bounds.retry-budget-ratio': 0.2, 'bounds.budget-window-s': 10, 'bounds.retry-slack': 52,
            'bounds.recovery-s': 12, 'bounds.pass-ms': 120, 'bounds.retry-after-s': 0,
            'bounds.fencing-required': 'true', 'bounds.lease-ms': 3000, 'bounds.thaw-slack-ms': 300,
            'bounds.ceiling-window-s': 5, 'bounds.ceiling-overshoot': 1.1, 'bounds.version_ms': 5000,
            'platform.address': self.case.store.address, 'platform.form': 'log', 'platform.writes-per-s': 400,
            'platform.reads-per-s': 2000, 'platform.parts': 8, 'platform.append-ms': 4.0,
            'platform.record-bytes': 262144, 'platform.call-bytes': 2097152, 'platform.keep_s': 300,
            'platform.part-mb': 200, 'platform.min-ttl-ms': 1000, **self.case.settings, **changes}
        self.path.write_text(''.join(f'{name}={value}\n' for name, value in settings.items()))

    async def start(self):
        with open(self.log, 'ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / 'target' / 'lacewing-entry'), stdout=log, stderr=log, cwd=str(ROOT),
                env={'PATH': os.environ.get('PATH', ''), 'LACEWINGDALE_SETTINGS': str(self.path)})

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n')
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return ' 200 ' in head.start
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def await_ready(self, limit=15):
        end = time.monotonic() + limit
        while not await self.is_ready():
            if time.monotonic() > end or self.process.returncode is not None:
                raise CannotRun(f'{self.name} is not ready')
            await asyncio.sleep(0.1)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class Answer:
    def __init__(self):
        self.status = 0  # 0: the connection ended before a head
        self.head = None
        self.body = b''
        self.whole = False
        self.error = ''


class Case:
    """One run of a case."""

    def __init__(self, folder, zones=('z-a',)):
        self.out = pathlib.Path(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self.temporary.name)
        self.zones = zones
        self.settings = {}
        self.internal_port = 0
        self.store = None
        self.vms = []
        self.lines = []
        self.runs = collections.defaultdict(list)  # attempt: names of the servers that ran it
        self.broken = []
        self.began = time.monotonic()

    def note(self, text):
        self.lines.append(f'{time.monotonic() - self.began:8.3f} {text}')

    def ran(self, server, attempt):
        self.runs[attempt].append(server.name)
        self.note(f'server {server.name} runs {attempt}')

    def break_rule(self, rule, text):
        self.broken.append(f'{rule}: {text}')
        self.note(f'BROKEN {rule}: {text}')

    async def open_store(self):
        self.store = await Store(self).open()

    async def start_vms(self, zones):
        self.internal_port = free_internal_port()
        self.vms = [Vm(self, number, zone) for number, zone in enumerate(zones)]
        for vm in self.vms:
            vm.write_settings()
            await vm.start()
        for vm in self.vms:
            await vm.await_ready()

    async def ask(self, vm, method, path, attempt, timeout, headers=(), body=b'', connection=None, note=True):
        """Sends a request and reads the answer to its end."""
        answer = Answer()
        fields = [('Host', 'orders.example'), ('Attempt-Id', attempt), ('Deadline-Ms', int(timeout * 1000)), *headers]
        writer = None
        if note:
            self.note(f'client sends {attempt} ({method} {path}) to {vm.name}')
        try:
            reader, writer = connection or await asyncio.wait_for(asyncio.open_connection(vm.ip, vm.port), 1)
            writer.write(message(f'{method} {path} HTTP/1.1', fields, body))
            await asyncio.wait_for(self.read_answer(reader, answer), timeout + 0.5)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            answer.error = type(error).__name__
        finally:
            if writer and not connection:
                writer.transport.abort()
        if note:
            self.note(f'client gets for {attempt}: {answer.status or "nothing"} {"whole" if answer.whole else "cut"} '
                      f'{answer.body[:60]!r} {answer.error}')
        else:
            self.note(f'client sent {attempt} to {vm.name} and gets {answer.status or answer.error}')
        return answer

    @staticmethod
    async def read_answer(reader, answer):
        answer.head = await read_head(reader)
        answer.status = int(answer.head.start.split(' ')[1])
        if answer.head.get('transfer-encoding') != 'chunked':
            answer.body = await reader.readexactly(int(answer.head.get('content-length') or 0))
            answer.whole = True
            return
        while size := int(await reader.readuntil(b'\r\n'), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
        answer.whole = True

    async def close(self):
        for vm in self.vms:
            await vm.end()
            if vm.process and vm.log.exists() and self.broken:
                self.lines += [f'-- last lines of {vm.name}'] + vm.log.read_text(errors='replace').split('\n')[-25:]
        if self.store:
            self.store.close()
        self.temporary.cleanup()


def route(name, kind, service, **more):
    return {'name': name, 'host': 'orders.example', 'path-prefix': f'/{name}/', 'kind': kind, 'service': service,
            'timeout-ms': 2500, 'target-latency-ms': 150, 'priority': 2, 'max-attempts': 2, **more}


def configuration(version, routes, services, **more):
    return {'version': version, 'routes': routes, 'services': services,
            'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000,
                       'idle-timeout-ms': 15000}, **more}


def run_case(folder, play, limit=110):
    """Plays a case and exits with its result.
    @param play coroutine function that gets the Case"""
    async def main():
        case = Case(folder)
        code = 2
        try:
            await asyncio.wait_for(play(case), limit)
            code = 1 if case.broken else 0
        except (CannotRun, asyncio.TimeoutError, OSError, AssertionError) as error:
            case.note(f'cannot run: {type(error).__name__} {error}')
        finally:
            await case.close()
            summary = [f'trouble: {"yes" if TROUBLE else "no"}', f'result: {("held", "broken", "could not run")[code]}',
                       *case.broken]
            (case.out / 'record.txt').write_text('\n'.join(summary + case.lines) + '\n')
            print('\n'.join(summary))
        return code
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    sys.exit(asyncio.run(main()))
