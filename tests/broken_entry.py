"""Entry daemon with a broken protocol of keyed operations: ``-m tests.broken_entry VARIANT``.

Each variant violates one rule of the protocol, to show that the tests detect the violation.
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
    """Denies an inquiry about an unknown key without recording a tombstone."""

    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        if self.records.get(inquiry.key) is None:
            return DENIES
        return super().on_inquiry(now, inquiry)


class SilenceDenies(Operations):
    """Treats a peer that is paused, isolated or dead as one that never received the key."""

    def on_no_reply(
        self, now: float, key: OperationKey, attempt: int, peer: Member, *, dead: bool = False
    ) -> FinalDecision | None:
        return self.on_reply(now, key, attempt, peer, DENIES)


class NeverYields(Operations):
    """Denies a peer's inquiry but continues its own inquiry about the same key."""

    def on_inquiry(self, now: float, inquiry: Inquiry) -> InquiryReply:
        record = self.records.get(inquiry.key)
        if record is not None and record.phase == Phase.ASKING:
            return DENIES
        return super().on_inquiry(now, inquiry)


class ForgetsDoubt(Operations):
    """Treats an operation whose answer was lost as one that did not run."""

    def on_unknown_outcome(self, now: float, key: OperationKey) -> None:
        self.on_not_run(now, key)


class AsksNobody(Operations):
    """Runs each operation that it has no record of, without an inquiry."""

    def on_operation(self, now: float, operation: Operation):  # type: ignore[no-untyped-def]
        return super().on_operation(now, Operation(operation.key, operation.fingerprint, True))


VARIANTS_BY_NAME = {
    variant.__name__: variant
    for variant in (NoTombstones, SilenceDenies, NeverYields, ForgetsDoubt, AsksNobody)
}


def main() -> None:
    """Run the entry daemon with the variant that the first argument names."""
    keyed.Operations = VARIANTS_BY_NAME[sys.argv[1]]  # type: ignore[misc]
    asyncio.run(daemon.serve(load_settings(sys.argv[3])))


if __name__ == "__main__":
    main()
