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
    def test_encoding_a_message_round_trips(self, message):
        self.assertEqual(message, decode_loads(encode_loads(message)))

    @given(st.binary(max_size=60))
    def test_other_bytes_decode_or_raise_a_value_error(self, data):
        try:
            decoded = decode_loads(data)
        except ValueError:
            return
        self.assertEqual(len(data), 9 + 11 * len(decoded.rows))

    def test_ages_have_steps_of_two_milliseconds_and_a_limit(self):
        row = LoadRow(id_hash("s"), 1, 0, ServerReport(1, 0, 4.0), 0.124)
        decoded = decode_loads(encode_loads(LoadMessage(1, False, (row,))))
        self.assertEqual(0.124, decoded.rows[0].age_s)
        old = LoadRow(1, 1, 0, ServerReport(1, 0, 4.0), 60.0)
        self.assertEqual(
            0.508, decode_loads(encode_loads(LoadMessage(1, False, (old,)))).rows[0].age_s
        )
