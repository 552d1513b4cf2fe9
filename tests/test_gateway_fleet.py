"""Tests of the helpers that start gateways in the tests' processes."""

from __future__ import annotations

import multiprocessing
from typing import Any

import testtools

from tests.gateway_fleet import free_port

PROCESSES = 4
PORTS_PER_PROCESS = 150


def draw_ports(drawn: Any, all_drawn: Any) -> None:
    """Draw ports, and keep the process until the others have drawn theirs."""
    drawn.put([free_port() for _ in range(PORTS_PER_PROCESS)])
    all_drawn.wait(60)


class PortsTest(testtools.TestCase):
    def test_no_port_is_given_twice_in_one_process_or_in_several(self):
        context = multiprocessing.get_context("spawn")
        drawn, all_drawn = context.Queue(), context.Barrier(PROCESSES + 1)
        processes = [
            context.Process(target=draw_ports, args=(drawn, all_drawn)) for _ in range(PROCESSES)
        ]
        for process in processes:
            process.start()
        ports = [port for _ in processes for port in drawn.get(timeout=60)]
        all_drawn.wait(60)
        for process in processes:
            process.join()
        self.assertEqual(PROCESSES * PORTS_PER_PROCESS, len(set(ports)))
