"""An entry whose keyed operations are broken on purpose: ``-m tests.broken_entry VARIANT``.

Each variant leaves out one part of the protocol, so that the proofs are seen to fail.
"""

from __future__ import annotations

import asyncio
import sys

from sycamorebay.coordination.membership import Member
from sycamorebay.coordination.operation_messages import (
    FinalDecision,
    Inquiry,
    InquiryReply,
    Operation,
)
from sycamorebay.coordination.operations import Operations
from sycamorebay.settings import load_settings
from sycamorebay.state.operations import OperationKey, Phase
from sycamorebay.transport.entry import daemon
from sycamorebay.transport.operations import keyed

DENIES = InquiryReply(Phase.TOMBSTONE)


class NoTombstones(Operations):
    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        if self.records.get(inquiry.key) is None:
            return DENIES
        return super().on_inquiry(now, inquiry)


class SilenceDenies(Operations):
    """Takes a peer that is paused, cut off or gone for one that never saw the key."""

    def on_no_reply(
        self, now: float, key: OperationKey, attempt: int, peer: Member, *, dead: bool = False
    ) -> FinalDecision | None:
        return self.on_reply(now, key, attempt, peer, DENIES)


class NeverYields(Operations):
    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        record = self.records.get(inquiry.key)
        if record is not None and record.phase == Phase.ASKING:
            return DENIES
        return super().on_inquiry(now, inquiry)


class ForgetsDoubt(Operations):
    """Takes a lost answer for an operation that did not run."""

    def on_unknown_outcome(self, now: float, key: OperationKey) -> None:
        self.on_not_run(now, key)


class AsksNobody(Operations):
    """Runs each send that it has no record of."""

    def on_operation(self, now: float, operation: Operation):  # type: ignore[no-untyped-def]
        return super().on_operation(now, Operation(operation.key, operation.fingerprint, True))


VARIANTS_BY_NAME = {
    one.__name__: one
    for one in (NoTombstones, SilenceDenies, NeverYields, ForgetsDoubt, AsksNobody)
}


def main() -> None:
    keyed.Operations = VARIANTS_BY_NAME[sys.argv[1]]  # type: ignore[misc]
    asyncio.run(daemon.serve(load_settings(sys.argv[3])))


if __name__ == "__main__":
    main()
