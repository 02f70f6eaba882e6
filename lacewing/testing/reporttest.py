#!/usr/bin/env python3
"""scripts/report on a log of a few lines."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

REPORT = pathlib.Path(__file__).resolve().parents[2] / 'scripts' / 'report'
LOG = '''
 1.0 vm-a time=2026-01-01T00:00:01.000Z event=request_sent id=r1 endpoint=i-1
 1.1 vm-a time=2026-01-01T00:00:01.100Z event=request_refused id=r1 reason=outcome_unknown cause=queue_full sends=1
 1.2 vm-b time=2026-01-01T00:00:01.200Z event=request_sent id=r2 endpoint=i-1
 1.4 vm-b time=2026-01-01T00:00:01.400Z event=request_refused id=r2 reason=outcome_unknown cause=queue_full sends=1
 1.5 vm-c time=2026-01-01T00:00:01.500Z event=endpoint_shunned endpoint=i-1 reporters=3 shunned_ms=1500
 2.0 vm-a time=2026-01-01T00:00:02.000Z event=order_sent endpoint=i-1 action=load weights=m/a1
 2.3 vm-a time=2026-01-01T00:00:02.300Z event=load_ended endpoint=i-1 weights=m/a1 took_ms=270
 2.4 vm-a time=2026-01-01T00:00:02.400Z event=order_sent endpoint=i-2 action=load weights=m/a1
 3.0 vm-a time=2026-01-01T00:00:03.000Z event=order_sent endpoint=i-1 action=unload weights=m/a1
 4.0 vm-a time=2026-01-01T00:00:04.000Z event=order_sent endpoint=i-1 action=load weights=m/a1
 5.0 vm-a time=2026-01-01T00:00:05.000Z event=traffic received="prompt=3/300" store_calls="read:t=4/1/2"
 6.0 vm-a time=2026-01-01T00:00:06.000Z event=traffic received="prompt=5/500,list=1/90" store_calls="read:t=6/1/2"
 6.0 vm-b time=2026-01-01T00:00:06.000Z event=traffic received="prompt=7/700" store_calls=""
not a line of a log
time=never event=traffic
'''


class ReportTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        with tempfile.NamedTemporaryFile('w', suffix='.log') as log:
            log.write(LOG)
            log.flush()
            cls.lines = subprocess.run([sys.executable, REPORT, log.name], capture_output=True, text=True,
                                       check=True).stdout.splitlines()

    def row(self, *words):
        """The words of the first line that holds all of these."""
        for line in self.lines:
            if all(word in line.split() for word in words):
                return line.split()
        self.fail(f'no line with {words}')

    def test_traffic_is_summed_over_the_last_line_of_each_vm(self):
        self.assertEqual(self.row('received', 'prompt')[2], '12')
        self.assertEqual(self.row('received', 'list')[2], '1')

    def test_store_calls_by_answer(self):
        self.assertEqual(self.row('read:t')[1:], ['6', '1', '2'])

    def test_loads_by_cause(self):
        self.assertEqual(self.row('not', 'held', 'before')[0], '1')
        self.assertEqual(self.row('held', 'another')[0], '1')
        self.assertEqual(self.row('unloaded', 'less')[0], '1')

    def test_requests_that_broke_by_endpoint(self):
        self.assertEqual(self.row('i-1'), ['i-1', '2', '2', '0.30', '1', '0.40'])


if __name__ == '__main__':
    unittest.main()
