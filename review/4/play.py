"""Three of twelve servers crash at once while each runs the same lookup, which many clients ask for. The lookup is sound,
but is refused with 400 from then on, although nine servers are up and the others are back after two seconds."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Server, configuration, route, run_case  # noqa: E402

SERVERS = 12
CRASHED = 3  # a quarter of the servers, the largest share of srv_crash in the site
DOWN_SECONDS = 2.0
SILENCE_SECONDS = 3.6  # three heartbeats, after which an entry is removed
PER_SECOND = 3
CALLERS = 40  # each with an address of its own
WORK = 2.0  # of a lookup; the route's timeout is 2.5 s
CRASH_AT = 8.0
SECONDS = 40.0
PATH = '/standings/final'


class Lookups(Server):
    def __init__(self, *words):
        super().__init__(*words)
        self.running = []

    async def answer(self, head, body, writer):
        self.running.append(head.get('attempt-id'))
        try:
            await super().answer(head, body, writer)
        finally:
            self.running.remove(head.get('attempt-id'))


async def play(case):
    await case.open_store()

    async def start(name):
        server = await Lookups(case, name, 'registre-ligue').open()
        server.work = WORK
        server.list()
        return server

    servers = [await start(f'i-{number}') for number in range(SERVERS)]
    case.store.put('keyed.op', 'config', configuration(3, [route('standings', 'safe', 'registre-ligue')],
                                                       [{'name': 'registre-ligue'}]))
    await case.start_vms(['z-a', 'z-a'])
    answers = []  # (time sent, status)
    began = time.monotonic()

    async def look_up(number):
        sent = time.monotonic() - began
        vm = case.vms[number % len(case.vms)]
        caller = f'127.0.1.{1 + number % CALLERS}'
        connection = await asyncio.open_connection(vm.ip, vm.port, local_addr=(caller, 0))
        answer = await case.ask(vm, 'GET', PATH, f'{number:06x}', 2.4, connection=connection, note=False)
        connection[1].transport.abort()
        answers.append((sent, answer.status))

    async def crash():
        await asyncio.sleep(CRASH_AT)
        crashed = [server for server in servers if server.running][:CRASHED]
        for server in crashed:
            case.note(f'server {server.name} crashes while it runs {server.running}')
            server.close()
        await asyncio.sleep(DOWN_SECONDS)
        for number in range(CRASHED):
            servers.append(await start(f'i-{SERVERS + number}'))
            case.note(f'server {servers[-1].name} starts')
        await asyncio.sleep(SILENCE_SECONDS - DOWN_SECONDS)
        for server in crashed:
            server.unlist()

    trouble = asyncio.create_task(crash()) if TROUBLE else None
    tasks = []
    next_at = began
    while next_at < began + SECONDS:
        tasks.append(asyncio.create_task(look_up(len(tasks))))
        next_at += 1 / PER_SECOND
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    if trouble:
        await trouble
    by_time = collections.defaultdict(collections.Counter)
    for sent, status in answers:
        by_time[int(sent / 4) * 4][status] += 1
    for second in sorted(by_time):
        case.note(f'sent from second {second}: answers by status {dict(by_time[second])}')
    denied = sum(1 for _, status in answers if 300 <= status < 500 and status not in (408, 421, 429))
    allowed = 5 + len(answers) / 500
    case.note(f'{denied} of {len(answers)} proper requests are denied; allowed are {allowed:.0f}')
    if denied > allowed:
        case.break_rule('DENIED', f'{denied} of {len(answers)} proper requests are ended with a 4xx of the system')


run_case(pathlib.Path(__file__).resolve().parent, play)
