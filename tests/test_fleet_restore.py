"""Tests of fleets whose store comes back from an older copy, in virtual time."""

from __future__ import annotations

import asyncio

import testtools

from bench.emulator.fleet import EmulatedFleet, restore, run_in_virtual_time, spread

# Within which gateways apply a configuration that the store has acknowledged.
APPLY_S = 2.0
SETTLING_S = 8.0


async def started_fleet(gateways: int, domains: int, seed: int, loss: float) -> EmulatedFleet:
    fleet = EmulatedFleet(gateways, domains, seed, loss)
    for number in range(40):
        fleet.store.put(f"servers/{number}", b'{"addr":"10.9.9.9:80"}')
    fleet.start_all()
    await asyncio.sleep(SETTLING_S)
    return fleet


class RestoredFleetTest(testtools.TestCase):
    def play(self, gateways: int, domains: int, seed: int = 1, loss: float = 0.001) -> None:
        """Check that a restore takes nobody back, leaves nobody behind and costs few listings."""

        async def scenario() -> None:
            fleet = await started_fleet(gateways, domains, seed, loss)
            self.assertLess(await restore(fleet), APPLY_S / 2)
            self.assertLess(fleet.store.listings, max(8, gateways / 10))
            self.assertEqual({b"2 second"}, configurations(fleet))
            version = fleet.store.put("config", b"3 third")
            await asyncio.sleep(APPLY_S)
            self.assertLess(spread(fleet, version).worst, APPLY_S / 2)
            self.assertEqual({b"3 third"}, configurations(fleet))

        run_in_virtual_time(scenario())

    def test_a_restore_leaves_no_gateway_of_a_small_fleet_behind(self):
        for seed in range(1, 6):
            self.play(13, 3, seed)

    def test_a_restore_leaves_no_gateway_of_hundreds_behind(self):
        self.play(312, 5)

    def test_lost_datagrams_leave_no_gateway_in_the_earlier_era(self):
        self.play(125, 3, loss=0.1)

    def test_a_reader_of_the_earlier_era_takes_nobody_back(self):
        async def scenario() -> None:
            fleet = await started_fleet(13, 3, 1, 0.001)
            reader = next(gateway for gateway in fleet.running() if gateway.peers.reading)
            fleet.is_cut = lambda one, other: reader in (one, other)
            fleet.store_is_cut = lambda gateway: gateway is reader
            await restore(fleet)
            fleet.is_cut = lambda _one, _other: False
            fleet.store_is_cut = lambda _: False
            await asyncio.sleep(APPLY_S)
            self.assertEqual({fleet.store.version.era}, {g.version.era for g in fleet.running()})
            self.assertEqual({b"2 second"}, configurations(fleet))

        run_in_virtual_time(scenario())

    def test_gateways_started_after_a_restore_learn_what_the_store_forgot(self):
        async def scenario(seed: int) -> None:
            fleet = await started_fleet(13, 3, seed, 0.001)
            await restore(fleet)
            for gateway in fleet.rng.sample(fleet.gateways, 6):
                gateway.kill()
                gateway.start()
            await asyncio.sleep(APPLY_S)
            self.assertEqual({b"2 second"}, configurations(fleet))

        for seed in range(1, 9):
            run_in_virtual_time(scenario(seed))

    def test_two_restores_within_a_second_leave_nobody_behind(self):
        async def scenario(seed: int) -> None:
            fleet = await started_fleet(60, 3, seed, 0.001)
            copy = fleet.store.copy()
            fleet.store.put("config", b"1 first")
            await asyncio.sleep(0.5)
            for _ in range(2):
                fleet.store.restore(copy)
                await asyncio.sleep(fleet.rng.uniform(0.0, 0.3))
            version = fleet.store.put("config", b"2 second")
            await asyncio.sleep(APPLY_S)
            self.assertLess(spread(fleet, version).worst, APPLY_S / 2)
            self.assertEqual({b"2 second"}, configurations(fleet))

        for seed in range(1, 6):
            run_in_virtual_time(scenario(seed))


def configurations(fleet: EmulatedFleet) -> set[bytes | None]:
    """Return the configurations that are in force at the gateways that run."""
    return {gateway.values_by_key.get("config") for gateway in fleet.running()}
