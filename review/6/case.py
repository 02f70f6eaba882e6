"""A VM that is alone in its zone stands still while servers of a second software version join and leave again.

The servers leave in the planned way: their entries are removed, they serve for drain-ms longer and end. Clients whose
streams began at them take the streams up at the VM that has stood still.
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
STILL = 7.5  # seconds for which the VM stands still
SERVE = 4.0  # seconds from the entries of the second version to their removal
DRAIN = 2.0  # seconds for which its servers go on after that
ALLOWED = 2  # streams with events of two versions

CONFIG = {
    'version': 7,
    'routes': [{'name': 'bilan', 'host': standins.HOST, 'path-prefix': '/bilan/', 'kind': 'streaming',
                'timeout-ms': 15000, 'target-latency-ms': 1000, 'priority': 0, 'service': 'llm', 'max-attempts': 2,
                'sticky': True, 'resumable': True, 'gap-target-ms': 400}],
    'services': [{'name': 'llm', 'health-path': '/health', 'max-conns': 360}],
    'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000,
               'idle-timeout-ms': 15000}}


class VersionComesAndGoes(standins.Case):
    zones = ('z0', 'z0', 'z1', 'z1', 'z1', 'z2')
    fencing = False

    def __init__(self, folder):
        super().__init__(folder)
        self.numbers = itertools.count(1)
        self.versions = {}  # of servers
        self.lost = asyncio.Event()  # clients lose their connections
        self.awake = asyncio.Event()  # the VM goes on
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
        await self.awake.wait()
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

    async def play(self):
        self.store.era = 1
        self.store.put('keyed.op', 'config', json.dumps(CONFIG).encode())
        await self.add_servers(OLD, 'v1')
        await self.start_vms()
        await asyncio.sleep(3)
        load = asyncio.create_task(self.clients())
        vm = self.vms[-1]
        began = time.monotonic()
        if self.trouble:
            self.note(f'{vm.name} stands still')
            vm.send(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        await self.add_servers(NEW, 'v2')
        self.note('servers of v2 have joined')
        await asyncio.sleep(SERVE)
        for server in self.servers[OLD:]:
            server.unlist()
        self.note('the entries of v2 are removed')
        await asyncio.sleep(DRAIN)
        self.lost.set()  # clients start no more streams, and lose those at v1 too
        for server in self.servers[OLD:]:
            server.close()
        self.note('the servers of v2 have ended')
        await asyncio.sleep(began + STILL - time.monotonic())
        vm.send(signal.SIGCONT)
        self.note(f'{vm.name} goes on')
        await vm.await_rotation()
        self.awake.set()
        await asyncio.sleep(1)
        self.over = True
        await load
        self.note(f'taken up: {dict(self.results)}')
        if len(self.mixed) > ALLOWED:
            self.fail(f'ORDER: {len(self.mixed)} streams hold events of two software versions')


standins.main(VersionComesAndGoes, pathlib.Path(__file__).resolve().parent)
