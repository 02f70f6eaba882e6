"""Starts the stand-ins and several lacewingd on loopback, for scripts/run-local and the path tests.

    with LocalCluster(build) as cluster:
        cluster.configure()
        report = cluster.load('--requests', '100')

Every process listens on a port found free. Leaving the block ends all processes that it started.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

START_TIMEOUT = 60.0
STOP_TIMEOUT = 60.0
OPERATOR_TOKEN = 'operator-token-of-the-local-run'
PEER_TOKEN = 'peer-token-of-the-local-run'
MEMBERS = {'tala': 'tala-key-of-the-local-run', 'ratapohja': 'ratapohja-key-of-the-local-run'}
ADAPTERS = {
    'tala': ['menu-drafts', 'allergy-notes', 'guest-answers', 'prep-notes'],
    'ratapohja': ['order-summaries', 'delivery-notes', 'slot-answers'],
}
SERVICES = {'tala': 'order-app', 'ratapohja': 'tilaus-app'}
BASE_MODEL = 'base-7b'


class ClusterError(Exception):
    """Something of the cluster did not do what it should."""


def free_ports(count):
    """Returns ports that were free a moment ago; all differ."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(('127.0.0.1', 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def fetch(url, body=None, headers=None, timeout=10.0, method=None):
    """Returns status, headers and body of one HTTP exchange; errors of HTTP are answers too."""
    request = urllib.request.Request(url, data=body, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.headers, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.headers, error.read()


def wait_for(what, check, timeout=START_TIMEOUT):
    """Waits until check() is true; raises ClusterError naming what was awaited."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if check():
            return
        time.sleep(0.05)
    raise ClusterError(f'timed out waiting for {what}')


class Daemon:
    """One lacewingd: its addresses, the build that it is started from and its process."""

    def __init__(self, name, zone, ports, build):
        self.name = name
        self.zone = zone
        self.build = build
        self.caller, self.peer, self.operator = (f'127.0.0.1:{port}' for port in ports)
        self.process = None


class LocalCluster:
    """Stand-ins and daemons of one local run."""

    def __init__(self, build, vms=3, engines=3, engine_options=(), environment=None, zones=('zone-a',),
                 fencing=True):
        self.build = pathlib.Path(build)
        self.engine_options = list(engine_options)
        self.engine_count = engines
        self.environment = environment or {}
        self.folder = tempfile.TemporaryDirectory(prefix='lacewing-local-')
        self.processes = []
        self.daemons = []
        self.engines = {}
        self.services = {}
        self.platform = None
        self.weights = None
        self.zones = list(zones)
        self.fencing = fencing
        self.vm_count = vms

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # ------------------------------------------------------------ processes

    def log_path(self, name):
        return pathlib.Path(self.folder.name) / f'{name}.log'

    def spawn(self, name, arguments, environment=None):
        """Starts a program; its output goes to a file of the cluster's folder."""
        with open(self.log_path(name), 'ab') as log:
            process = subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                       env={**os.environ, **(environment or {})})
        self.processes.append(process)
        return process

    def standin(self, name, kind, *options):
        """Starts a stand-in and returns its host:port."""
        self.spawn(name, [str(self.build / 'lacewing-standin'), kind, *options])
        path = self.log_path(name)
        wait_for(name, lambda: 'listening' in path.read_text())
        return '127.0.0.1:' + path.read_text().split('listening', 1)[1].split()[0]

    def start(self):
        self.platform = self.standin('platform', 'platform')
        self.weights = self.standin('weights', 'weights')
        for number in range(1, self.engine_count + 1):
            name = f'engine-{number}'
            checks = self.fencing_option(number)
            self.engines[name] = self.standin(name, 'engine', '--weights', self.weights, *checks, *self.engine_options)
        for member, service in SERVICES.items():
            self.services[service] = self.standin(service, 'service', '--name', service)
        ports = free_ports(3 * self.vm_count)
        for number in range(self.vm_count):
            zone = self.zones[number % len(self.zones)]
            self.daemons.append(Daemon(f'vm-{number + 1}', zone, ports[3 * number:3 * number + 3],
                                       self.build))
        self.publish_vms()
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.wait_ready(daemon)

    def fencing_option(self, number):
        """Every other engine checks fencing numbers, as in the two kinds of deployments."""
        return ['--checks-fencing'] if self.fencing and number % 2 == 1 else []

    def start_daemon(self, daemon):
        environment = {
            'LACEWING_VM': daemon.name,
            'LACEWING_ZONE': daemon.zone,
            'LACEWING_CALLER_ADDRESS': daemon.caller,
            'LACEWING_PEER_ADDRESS': daemon.peer,
            'LACEWING_ADVERTISED_PEER_ADDRESS': daemon.peer,
            'LACEWING_OPERATOR_ADDRESS': daemon.operator,
            'LACEWING_PLATFORM_URL': f'http://{self.platform}',
            'LACEWING_OPERATOR_TOKEN': OPERATOR_TOKEN,
            'LACEWING_PEER_TOKEN': PEER_TOKEN,
            **self.environment,
        }
        daemon.process = self.spawn(daemon.name, [str(daemon.build / 'lacewingd')], environment)

    def wait_ready(self, daemon):
        def ready():
            if daemon.process.poll() is not None:
                raise ClusterError(f'{daemon.name} ended with {daemon.process.returncode}: {self.tail(daemon.name)}')
            try:
                return fetch(f'http://{daemon.operator}/readyz')[0] == 200
            except OSError:
                return False
        wait_for(f'{daemon.name} to be ready', ready)

    def terminate(self, daemon):
        """Asks a daemon to stop, and returns its exit code."""
        daemon.process.send_signal(signal.SIGTERM)
        return daemon.process.wait(STOP_TIMEOUT)

    def kill(self, daemon):
        """Ends a daemon without warning."""
        daemon.process.kill()
        daemon.process.wait(STOP_TIMEOUT)

    def tail(self, name, lines=15):
        return '\n'.join(self.log_path(name).read_text().splitlines()[-lines:])

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.folder.cleanup()

    # ------------------------------------------------------------ platform and operators

    def control(self, address, **what):
        """Switches something of a stand-in, such as a fault."""
        fetch(f'http://{address}/control', json.dumps(what).encode())

    def stats(self, address):
        return json.loads(fetch(f'http://{address}/stats')[2])

    def publish_vms(self, leaving=(), absent=()):
        listed = [{'name': one.name, 'zone': one.zone, 'address': one.peer, 'leaving': one.name in leaving}
                  for one in self.daemons if one.name not in absent]
        for number, name in enumerate([*self.engines, *self.services]):
            zone = self.zones[number % len(self.zones)]
            listed.append({'name': name, 'zone': zone, 'address': '', 'leaving': name in leaving})
        self.control(self.platform, vms=listed)

    def ctl(self, *arguments, check=True):
        """Runs lacewingctl and returns the finished process."""
        environment = {
            **os.environ,
            'LACEWING_OPERATOR_URLS': ','.join(f'http://{one.operator}' for one in self.daemons),
            'LACEWING_OPERATOR_TOKEN': OPERATOR_TOKEN,
        }
        done = subprocess.run([str(self.build / 'lacewingctl'), *arguments], capture_output=True, text=True,
                              env=environment, timeout=STOP_TIMEOUT, check=False)
        if check and done.returncode != 0:
            raise ClusterError(f'lacewingctl {" ".join(arguments)}: exit {done.returncode}: {done.stderr}{done.stdout}')
        return done

    def configure(self):
        """Creates the members, adapters, endpoints and the service, and waits until they are in force."""
        for member, key in MEMBERS.items():
            self.ctl('member', 'add', member, '--key', key)
            for adapter in ADAPTERS[member]:
                self.ctl('adapter', 'create', adapter, '--member', member, '--base-model', BASE_MODEL,
                         '--source', f'weights/{adapter}/1')
        for number, (name, address) in enumerate(self.engines.items()):
            checks = self.fencing_option(number + 1)
            zone = self.zones[number % len(self.zones)]
            self.ctl('endpoint', 'add', name, '--zone', zone, '--address', address, '--base-model', BASE_MODEL, *checks,
                     *self.endpoint_options())
        for number, (member, service) in enumerate(SERVICES.items()):
            zone = self.zones[(number + len(self.engines)) % len(self.zones)]
            self.ctl('service', 'add', service, '--zone', zone, '--address', self.services[service], '--member', member)
        self.ctl('preset', 'use', 'ordinary', '--wait')

    def endpoint_options(self):
        """What the daemons are told of the engines' sizes, taken from the options of the stand-in."""
        told = []
        for theirs, ours in (('--slots', '--slots'), ('--max-running', '--max-running')):
            if theirs in self.engine_options:
                told += [ours, self.engine_options[self.engine_options.index(theirs) + 1]]
        return told

    # ------------------------------------------------------------ callers

    def callers(self):
        return ','.join(one.caller for one in self.daemons)

    def load_command(self, *options, member='tala', callers=None):
        return [str(self.build / 'lacewing-load'), '--callers', callers or self.callers(), '--key', MEMBERS[member],
                '--adapters', ','.join(ADAPTERS[member]), *options]

    def load(self, *options, member='tala', callers=None):
        """Runs the load tool to its end and returns its report."""
        done = subprocess.run(self.load_command(*options, member=member, callers=callers), capture_output=True,
                              text=True, timeout=300, check=False)
        if not done.stdout.strip():
            raise ClusterError(f'lacewing-load: {done.stderr}')
        return json.loads(done.stdout)

    def start_load(self, *options, member='tala', callers=None):
        """Starts the load tool; finish_load() takes its report."""
        return subprocess.Popen(self.load_command(*options, member=member, callers=callers),
                                stdout=subprocess.PIPE, text=True)

    @staticmethod
    def finish_load(process):
        output, _ = process.communicate(timeout=300)
        return json.loads(output)
