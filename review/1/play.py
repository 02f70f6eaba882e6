"""A server's extra copy of its rejection is taken for its answer to the same request, which it was sent once more."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from standins import TROUBLE, Server, configuration, message, route, run_case  # noqa: E402

SECONDS = 25
PER_SECOND = 420  # a little more than both servers can do: 2 servers x 6 slots / 30 ms = 400 a second
SLOTS = 6
QUEUE = 2
WORK = 0.03
THERE_AND_BACK = 0.0018  # twice the 0.9 ms between zones
WINDOW = 5.0  # the longest time of the disruption; then it pauses
PAUSE = 2.0
EXTRA_SHARE = 0.03  # the largest dose of the site: 3 in 100 answers of the servers that are spoiled


class FullServer(Server):
    """Runs SLOTS requests at once, queues a few more and rejects what is beyond. If it is faulty, a copy of some of its
    rejections comes late, where the next response of that connection is expected."""

    def __init__(self, case, name, faulty):
        super().__init__(case, name, 'order-app', slots=SLOTS)
        self.faulty = faulty
        self.places = asyncio.Semaphore(SLOTS)
        self.taken = 0
        self.answers = 0
        self.extras = 0
        self.late = {}  # connection: copy of the last rejection

    async def answer(self, head, body, writer):
        await asyncio.sleep(THERE_AND_BACK)
        self.answers += self.case.spoiling  # the share counts while the disruption lasts
        extra = self.late.pop(writer, None) if self.case.spoiling else None
        if self.taken >= SLOTS + QUEUE:
            if extra:
                writer.write(extra)
            rejection = self.rejection(head)
            writer.write(rejection)
            if self.faulty and self.case.spoiling and self.extras + 1 <= EXTRA_SHARE * self.answers:
                self.extras += 1
                self.late[writer] = rejection
            return
        self.taken += 1
        try:
            async with self.places:
                self.ran(head)
                if extra:
                    self.case.note(f'server {self.name} sends an earlier rejection once more')
                    writer.write(extra)
                await asyncio.sleep(WORK)
                writer.write(message('HTTP/1.1 200 OK', self.marks(head, self.seal(head)), b'done ' + body))
        finally:
            self.taken -= 1


async def spoil(case, servers):
    while True:
        case.spoiling = True
        await asyncio.sleep(WINDOW)
        case.spoiling = False
        for server in servers:
            server.late.clear()
        await asyncio.sleep(PAUSE)


async def play(case):
    case.spoiling = False
    await case.open_store()
    servers = [await FullServer(case, 'i-a', TROUBLE).open(), await FullServer(case, 'i-b', False).open()]
    case.store.put('keyed.op', 'config', configuration(3, [route('confirm', 'unsafe', 'order-app')],
                                                       [{'name': 'order-app'}]))
    for server in servers:
        server.list()
    await case.start_vms(['z-a'])
    answers = {}

    async def confirm(attempt):
        answer = await case.ask(case.vms[0], 'POST', '/confirm/x', attempt, 2.5, body=attempt.encode(), note=False)
        answers[attempt] = answer.status

    spoiling = asyncio.create_task(spoil(case, servers))
    tasks = []
    end = time.monotonic() + SECONDS
    next_at = time.monotonic()
    while next_at < end:
        tasks.append(asyncio.create_task(confirm(f'{len(tasks):06x}')))
        next_at += 1 / PER_SECOND
        await asyncio.sleep(max(0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    spoiling.cancel()
    await asyncio.sleep(0.5)
    for attempt, names in sorted(case.runs.items()):
        if len(names) > 1:
            case.break_rule('TWICE', f'{attempt} has run at {names}; its client got {answers[attempt]}')
        if answers[attempt] in (408, 421, 429, 503):
            case.break_rule('REFUSED', f'{attempt} has run at {names}; its client got {answers[attempt]}')
    extras = {server.name: f'{server.extras} of {server.answers}' for server in servers}
    statuses = {status: list(answers.values()).count(status) for status in set(answers.values())}
    case.note(f'requests {len(answers)}, answered {statuses}, answers that were sent twice: {extras}')
    assert statuses.get(200, 0) > len(answers) / 2, 'the servers were hardly used'


run_case(pathlib.Path(__file__).resolve().parent, play)
