"""A VM that is alone in its zone starts while the store comes back from a copy that knows of one software version only.

Servers of a second version have joined some seconds before. Clients whose streams began at them lose their connections and
take them up at the VM that has started.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

OLD, NEW = 6, 3  # servers of the versions v1 and v2
EVENTS, PAUSE = 86, 0.1
RATE = 12.0  # streams a second
DEADLINE = 15.0
STOP_AFTER = 2.0  # seconds from the second version to the SIGTERM
AWAY = 0.3  # seconds for which the store is away
RESTART = 0.5  # seconds until the platform starts a process again
REWRITTEN = 1.8  # seconds after the store's return, at the latest
ALLOWED = 2  # streams with events of two versions

CONFIG = {
    'version': 7,
    'routes': [{'name': 'bilan', 'host': standins.HOST, 'path-prefix': '/bilan/', 'kind': 'streaming',
                'timeout-ms': 15000, 'target-latency-ms': 1000, 'priority': 0, 'service': 'llm', 'max-attempts': 2,
                'sticky': True, 'resumable': True, 'gap-target-ms': 400}],
    'services': [{'name': 'llm', 'health-path': '/health', 'max-conns': 360}],
    'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000,
               'idle-timeout-ms': 15000}}


class OneVersionInTheCopy(standins.Case):
    zones = ('z0', 'z0', 'z1', 'z1', 'z1', 'z2')
    fencing = False

    def __init__(self, folder):
        super().__init__(folder)
        self.numbers = itertools.count(1)
        self.versions = {}  # of servers
        self.lost = asyncio.Event()  # clients lose their connections
        self.results = collections.Counter()
        self.mixed = []
        self.over = False

    async def answer(self, server, head, body, writer):
        return await server.stream(head, writer, EVENTS, PAUSE)

    async def read(self, vm, attempt, name, timeout, events, headers):
        """Reads a stream until it ends, or the client loses its connection. Adds (id, server) to the events."""
        status, writer = 0, None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(vm.ip, vm.port), 1)
            self.note(f'sent {attempt} to {vm.name}')
            fields = [('Host', standins.HOST), ('Attempt-Id', attempt), ('Deadline-Ms', int(1000 * timeout)), *headers]
            writer.write(standins.message('POST /bilan/x HTTP/1.1', fields, name.encode()))
            end = time.monotonic() + timeout
            head = standins.Head((await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), timeout))[:-4])
            status = int(head.start.split(' ')[1])
            while status == 200:
                size = int(await asyncio.wait_for(reader.readuntil(b'\r\n'), end - time.monotonic()), 16)
                event = (await asyncio.wait_for(reader.readexactly(size + 2), end - time.monotonic())).decode()
                if size == 0:
                    return status, True
                events.append((int(event.split('id: ')[1].split('\n')[0]), event.split('data: ')[1].split('\n')[0]))
                if self.lost.is_set() and not attempt.endswith('-up'):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            if writer:
                writer.transport.abort()
            self.note(f'answered {attempt}: {status}, {len(events)} events of the stream so far')
        return status, False

    async def client(self):
        name = f'd{next(self.numbers)}'
        events = []
        deadline = time.monotonic() + DEADLINE
        vm = random.choice(self.vms[:-1])
        status, whole = await self.read(vm, f'{name}-0', name, DEADLINE, events, [])
        if whole or not events or not self.lost.is_set():
            return
        before = len(events)
        begun = self.versions[events[0][1]]
        vm = self.vms[-1]
        headers = [('Last-Event-Id', events[-1][0]), ('Resumes', f'{name}-0')]
        status, whole = await self.read(vm, f'{name}-up', name, deadline - time.monotonic(), events, headers)
        versions = sorted({self.versions[server] for _, server in events})
        self.results[f'begun at {begun}: {status}, {"goes on" if len(events) > before else "does not go on"}'] += 1
        self.note(f'{name} begun at {begun} is taken up at {vm.name}: {status}, events {before} and {len(events) - before}, '
                  f'of {versions}')
        if len(versions) > 1:
            self.mixed.append(name)

    async def clients(self):
        tasks = set()
        while not self.over:
            if not self.lost.is_set():
                task = asyncio.create_task(self.client())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
            await asyncio.sleep(random.uniform(0.9, 1.1) / RATE)
        await asyncio.gather(*tasks)

    async def add_servers(self, count, version):
        for _ in range(count):
            number = len(self.servers)
            server = standins.Server(self, f'i-{number}', 'llm', self.zones[number % 6], version=version)
            self.versions[server.name] = version
            self.servers.append(await server.open())
            server.list()

    async def come_back_from(self, copy):
        store = self.store
        store.up = False
        store.drop()
        store.wake()
        await asyncio.sleep(AWAY)
        store.topics = collections.defaultdict(list, {topic: list(records) for topic, records in copy.items()})
        store.era += 1
        store.up = True
        self.note(f'the store is back, era {store.era}')
        await asyncio.sleep(REWRITTEN)
        for server in self.servers:
            server.list()
        self.note('the servers have written their entries again')

    async def play(self):
        self.store.era = 1
        self.store.put('keyed.op', 'config', json.dumps(CONFIG).encode())
        await self.add_servers(OLD, 'v1')
        await self.start_vms()
        await asyncio.sleep(3)
        load = asyncio.create_task(self.clients())
        copy = {topic: list(records) for topic, records in self.store.topics.items()}
        copied = self.now()
        await self.add_servers(NEW, 'v2')
        self.note('servers of v2 have joined')
        await asyncio.sleep(STOP_AFTER)
        vm = self.vms[-1]
        self.note(f'SIGTERM to {vm.name}')
        vm.send(signal.SIGTERM)
        await vm.process.wait()
        self.note(f'{vm.name} has ended; the copy is {self.now() - copied:.1f} s old')
        away = asyncio.create_task(self.come_back_from(copy)) if self.trouble else None
        await asyncio.sleep(RESTART)
        await vm.start()
        await vm.await_rotation()
        self.note(f'clients lose their connections')
        self.lost.set()
        if away:
            await away
        self.over = True
        await load
        self.note(f'taken up: {dict(self.results)}')
        if len(self.mixed) > ALLOWED:
            self.fail(f'ORDER: {len(self.mixed)} streams hold events of two software versions')


standins.main(OneVersionInTheCopy, pathlib.Path(__file__).resolve().parent)
