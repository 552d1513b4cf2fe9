from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from sycamorebay.coordination.server_load import ServerReport
from sycamorebay.protocol.load_rows import (
    LoadMessage,
    LoadRow,
    decode_loads,
    encode_loads,
    id_hash,
)

BYTES = st.integers(0, 255)
REPORTS = st.builds(ServerReport, BYTES, BYTES, st.integers(10, 60_000).map(lambda n: n / 100))
ROWS = st.builds(LoadRow, st.integers(0, 2**32 - 1), BYTES, BYTES, st.none() | REPORTS)
MESSAGES = st.builds(
    LoadMessage, st.integers(0, 2**63), st.booleans(), st.lists(ROWS, max_size=40).map(tuple)
)


class LoadRowsTest(testtools.TestCase):
    @given(MESSAGES)
    def test_what_is_written_is_read(self, message):
        self.assertEqual(message, decode_loads(encode_loads(message)))

    @given(st.binary(max_size=60))
    def test_any_other_bytes_are_a_value_error_or_a_message(self, data):
        try:
            found = decode_loads(data)
        except ValueError:
            return
        self.assertEqual(len(data), 9 + 11 * len(found.rows))

    def test_ages_are_kept_to_two_milliseconds_and_bounded(self):
        row = LoadRow(id_hash("s"), 1, 0, ServerReport(1, 0, 4.0), 0.124)
        read = decode_loads(encode_loads(LoadMessage(1, False, (row,))))
        self.assertEqual(0.124, read.rows[0].age_s)
        old = LoadRow(1, 1, 0, ServerReport(1, 0, 4.0), 60.0)
        self.assertEqual(
            0.508, decode_loads(encode_loads(LoadMessage(1, False, (old,)))).rows[0].age_s
        )
