#!/usr/bin/env python3
"""Drives three lacewingd over TCP, as separate processes with the stand-ins, and checks every answer.

    pathtest.py BUILD [TEST…]

Ends with "N passed, N failed". A failing test prints the report that it judged.
"""

import pathlib
import sys
import time
import traceback

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / 'scripts'))

from localcluster import MEMBERS, SERVICES, LocalCluster, fetch, wait_for  # noqa: E402

# One token takes a millisecond, so that thousands of streams fit into a test.
FAST = ('--slots', '4', '--max-running', '64', '--step-us', '1000', '--adapter-us', '100')
SERVICE = SERVICES['tala']


def check(right, what):
    if not right:
        raise AssertionError(what)


def check_whole(report, requests):
    """Every request was answered, whole, with nothing but its own tokens."""
    check(report['wrong'] == 0, f'wrong answers: {report}')
    check(report['cut'] == 0, f'cut answers: {report}')
    check(report['answered'] == requests, f'not all of {requests} answered: {report}')


def test_two_thousand_streams(build):
    """2,000 streams, 400 open at once, over engines that answer late and out of order."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        for engine in cluster.engines.values():
            cluster.control(engine, jitter_ms=300, late_after_cancel_ms=200)
        report = cluster.load('--requests', '2000', '--concurrency', '400', '--tokens', '12', '--retries', '40',
                              '--class', 'mixed')
        check_whole(report, 2000)
        evicted = [cluster.stats(engine)['evicted_serving'] for engine in cluster.engines.values()]
        check(sum(evicted) == 0, f'adapters evicted while serving: {evicted}')


def test_callers_that_leave(build):
    """Half of the callers leave midway; the others' answers are whole and the engines are freed."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        report = cluster.load('--requests', '400', '--concurrency', '60', '--tokens', '60', '--retries', '40',
                              '--abort-share', '0.5')
        check(report['wrong'] + report['cut'] == 0, f'wrong or cut: {report}')
        check(report['answered'] + report['aborted'] == 400, f'not all ended: {report}')
        check(report['aborted'] > 100, f'too few left: {report}')

        def idle():
            return all(b'"running":0,' in fetch(f'http://{engine}/load')[2] for engine in cluster.engines.values())
        wait_for('the engines to be idle', idle, 20)


def test_rolling_restart(build):
    """All daemons are restarted in turn under load; no request is cut and each daemon exits 0."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        cluster.load('--requests', '20', '--retries', '40')
        load = cluster.start_load('--requests', '3000', '--concurrency', '30', '--tokens', '30', '--retries', '100')
        codes = []
        for daemon in cluster.daemons:
            codes.append(cluster.terminate(daemon))
            cluster.start_daemon(daemon)
            cluster.wait_ready(daemon)
        report = cluster.finish_load(load)
        check(codes == [0, 0, 0], f'exit codes {codes}')
        check_whole(report, 3000)


def test_owner_killed(build):
    """A daemon is killed under load. What it answered itself breaks off with it; all else is served."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        survivors = ','.join(one.caller for one in cluster.daemons[1:])
        cluster.load('--requests', '20', '--retries', '40')
        load = cluster.start_load('--requests', '1500', '--concurrency', '30', '--tokens', '30', '--retries', '200',
                                  callers=survivors)
        time.sleep(0.5)
        cluster.kill(cluster.daemons[0])
        cluster.publish_vms(absent=[cluster.daemons[0].name])
        check_whole(cluster.finish_load(load), 1500)


def test_one_key_over_three_vms(build):
    """A not-repeatable call is sent 200 times with one key while connections break: it runs once."""
    with LocalCluster(build) as cluster:
        cluster.configure()
        address = cluster.services[SERVICE]
        cluster.control(address, delay_ms=100)
        report = cluster.load('--service', SERVICE, '--requests', '200', '--concurrency', '20', '--abort-share', '0.3',
                              '--idempotency-key', 'order-7', '--not-repeatable')
        runs = int(fetch(f'http://{address}/count/order-7')[2])
        check(runs == 1, f'{runs} runs: {report}')
        # The service breaks the connection after it ran the call: the outcome is unknown, and it is not run again.
        cluster.control(address, break_after_run=1)
        report = cluster.load('--service', SERVICE, '--requests', '200', '--concurrency', '20',
                              '--idempotency-key', 'order-8', '--not-repeatable')
        runs = int(fetch(f'http://{address}/count/order-8')[2])
        check(runs == 1 and report['answered'] == 0, f'{runs} runs: {report}')


def mint(cluster, daemon):
    headers = {'Authorization': f'Bearer {MEMBERS["tala"]}'}
    status, _, body = fetch(f'http://{daemon.caller}/v1/keys', b'', headers, method='POST')
    check(status == 200, f'{status} {body}')
    return body.decode().split('"key":"', 1)[1].split('"', 1)[0]


def test_minted_key(build):
    """A minted key is used over all VMs, with the log down: the call runs once."""
    with LocalCluster(build) as cluster:
        cluster.configure()
        # While the log is down nobody can become the owner of the service's endpoint, so it needs one before.
        check(cluster.load('--service', SERVICE, '--requests', '1')['answered'] == 1, 'the service has no owner')
        cluster.control(cluster.platform, log_down=True)
        key = mint(cluster, cluster.daemons[1])
        report = cluster.load('--service', SERVICE, '--requests', '30', '--concurrency', '6',
                              '--idempotency-key', key, '--not-repeatable')
        runs = int(fetch(f'http://{cluster.services[SERVICE]}/count/{key}')[2])
        check(runs == 1 and report['answered'] == 1, f'{runs} runs: {report}')


def test_log_outage(build):
    """With the log and the VM list down, what is configured goes on being served."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        cluster.load('--requests', '20', '--retries', '40')
        cluster.control(cluster.platform, log_down=True, vms_down=True)
        time.sleep(3)
        check_whole(cluster.load('--requests', '300', '--concurrency', '30', '--retries', '100'), 300)
        refused = cluster.ctl('preset', 'use', 'peak', '--timeout', '3s', check=False)
        check(refused.returncode != 0, 'a change was reported as accepted with the log down')
        cluster.control(cluster.platform, log_down=False, vms_down=False)

        def accepted():
            return cluster.ctl('preset', 'use', 'peak', '--wait', check=False).returncode == 0
        wait_for('a change to be accepted again', accepted)


def test_members_are_kept_apart(build):
    """A key reaches its own member's adapters and services only."""
    with LocalCluster(build) as cluster:
        cluster.configure()
        report = cluster.load('--requests', '6', member='tala')
        check(report['answered'] == 6, f'{report}')
        url = f'http://{cluster.daemons[0].caller}'
        body = b'{"model":"menu-drafts","prompt":"x","max_tokens":2}'
        for key, wanted in ((MEMBERS['ratapohja'], (403, 404)), ('no-such-key', (401,)), (MEMBERS['tala'], (200,))):
            status = fetch(f'{url}/v1/completions', body, {'Authorization': f'Bearer {key}'})[0]
            check(status in wanted, f'status {status} where {wanted} was due')
        status = fetch(f'{url}/services/{SERVICE}/x', b'', {'Authorization': f'Bearer {MEMBERS["ratapohja"]}'})[0]
        check(status in (403, 404), f'service of another member: status {status}')


def test_version_change_under_load(build):
    """A new version is assigned under load: every answer is wholly of one version, and the new one is served."""
    with LocalCluster(build, engine_options=FAST) as cluster:
        cluster.configure()
        load = cluster.start_load('--requests', '1000', '--concurrency', '20', '--tokens', '20', '--retries', '100')
        cluster.ctl('version', 'add', 'menu-drafts', '2', '--source', 'weights/menu-drafts/2')
        cluster.ctl('assign', 'menu-drafts', '2', '--wait')
        check_whole(cluster.finish_load(load), 1000)
        report = cluster.load('--requests', '8', '--retries', '40')
        check('menu-drafts@2' in report['models'] and 'menu-drafts@1' not in report['models'], f'{report["models"]}')


def main():
    build = pathlib.Path(sys.argv[1])
    tests = {name: test for name, test in globals().items() if name.startswith('test_')}
    left_out = {name[1:] for name in sys.argv[2:] if name.startswith('-')}  # run on their own
    named = [name for name in sys.argv[2:] if not name.startswith('-')]
    wanted = named or [name for name in tests if name not in left_out]
    failed = 0
    for name in wanted:
        start = time.monotonic()
        try:
            tests[name](build)
            print(f'{name}: passed in {time.monotonic() - start:.1f} s', flush=True)
        except Exception:  # a test may fail in any way; the next ones still run
            failed += 1
            print(f'{name}: FAILED\n{traceback.format_exc()}', flush=True)
    print(f'{len(wanted) - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
