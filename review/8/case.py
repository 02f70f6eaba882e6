"""A VM is stopped and started in the planned way while the store comes back from a copy some seconds old.

Seconds before, a configuration took a key away, and was acknowledged. The copy is older than that. What the operator and
the servers wrote is written again a moment later. Clients go on sending requests with the key that was taken away.
"""

import asyncio
import collections
import itertools
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_2 as standins  # noqa: E402

REVOKE = 5.0  # revoke-ms
STOP_AFTER = 2.6  # seconds from the acknowledgement to the SIGTERM
AWAY = 0.3  # seconds for which the store is away
RESTART = 0.5  # seconds until the platform starts a process again
REWRITTEN = 1.8  # seconds after the store's return, at the latest
ROUNDS = 4
RATE = 40.0  # requests a second with the key, at the VM that was started
KEYS = [f'key-{number}' for number in range(ROUNDS + 1)]


def configuration(version, keys):
    routes = [{'name': 'look', 'host': standins.HOST, 'path-prefix': '/look/', 'kind': 'safe', 'timeout-ms': 1000,
               'target-latency-ms': 150, 'priority': 0, 'service': 'app', 'max-attempts': 2}]
    tenant = {'name': 't0', 'api-keys': keys, 'priority': 1, 'rate-per-s': 0, 'burst': 0}
    return json.dumps({
        'version': version, 'routes': routes, 'services': [{'name': 'app', 'health-path': '/health', 'max-conns': 410}],
        'tenants': [tenant],
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 4194304, 'header-timeout-ms': 3000,
                   'idle-timeout-ms': 15000}}).encode()


class OlderCopy(standins.Case):
    zones = ('z0', 'z0', 'z1', 'z1', 'z2', 'z2')

    def __init__(self, folder):
        super().__init__(folder)
        self.numbers = itertools.count(1)
        self.version = 7
        self.sent = {}  # attempt: (time, key)
        self.taken_away = {}  # key: time of the acknowledgement
        self.results = collections.Counter()

    def settings(self):
        return {**super().settings(), 'bounds.revoke-strict': 'true', 'bounds.revoke-ms': 5000}

    def on_run(self, server, head, body):
        super().on_run(server, head, body)
        at, key = self.sent[head.get('attempt-id')]
        if key in self.taken_away and at > self.taken_away[key] + REVOKE:
            self.fail(f'CONFIG: {head.get("attempt-id")} runs with {key}, sent {at - self.taken_away[key]:.2f} s after the '
                      'acknowledgement that took it away')

    async def client(self, vm, key):
        attempt = f'q{next(self.numbers)}'
        self.sent[attempt] = (self.now(), key)
        self.note(f'sent {attempt} with {key} to {vm.name}')
        answer = await standins.ask(vm, '/look/x', attempt, 1.0, [('Authorization', f'Token {key}')], method='GET')
        self.results[answer.status] += 1
        self.note(f'{attempt} with {key} at {vm.name}: {answer.status}')

    async def clients(self, vm, key, seconds):
        tasks = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.append(asyncio.create_task(self.client(vm, key)))
            await asyncio.sleep(1 / RATE)
        await asyncio.gather(*tasks)

    async def come_back_from(self, copy):
        """The store is away for a moment and comes back without what was written since the copy."""
        store = self.store
        store.up = False
        store.drop()
        store.wake()
        await asyncio.sleep(AWAY)
        lost = store.topics['keyed.op'][len(copy['keyed.op']):]
        store.topics = collections.defaultdict(list, {topic: list(records) for topic, records in copy.items()})
        store.era += 1
        store.up = True
        self.note(f'the store is back, era {store.era}, without {len(lost)} records of the operator')
        await asyncio.sleep(REWRITTEN)
        for key, value in lost:
            store.put('keyed.op', key, value)
        for server in self.servers:
            server.list()
        self.note('what the operator and the servers wrote is written again')

    async def round(self, number):
        vm = self.vms[number]
        key = KEYS[number]
        copy = {topic: list(records) for topic, records in self.store.topics.items()}
        copied = self.now()
        self.version += 1
        self.store.put('keyed.op', 'config', configuration(self.version, KEYS[number + 1:]))
        self.taken_away[key] = self.now()
        self.note(f'version {self.version} takes {key} away')
        await asyncio.sleep(STOP_AFTER)
        self.note(f'SIGTERM to {vm.name}')
        vm.send(signal.SIGTERM)
        await vm.process.wait()
        self.note(f'{vm.name} has ended; the copy is {self.now() - copied:.1f} s old')
        away = asyncio.create_task(self.come_back_from(copy)) if self.trouble else None
        await asyncio.sleep(RESTART)
        await vm.start()
        await vm.await_rotation()
        await self.clients(vm, key, 2.5)
        if away:
            await away
        await asyncio.sleep(3)

    async def play(self):
        self.store.era = 1
        self.store.put('keyed.op', 'config', configuration(self.version, KEYS))
        for number in range(4):
            server = await standins.Server(self, f'i-{number}', 'app', self.zones[number], slots=6).open()
            self.servers.append(server)
            server.list()
        await self.start_vms()
        await asyncio.sleep(3)
        for number in range(ROUNDS):
            await self.round(number)
        self.note(f'answers {dict(self.results)}')


standins.main(OlderCopy, pathlib.Path(__file__).resolve().parent)
