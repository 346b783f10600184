"""Tests of the retry delays of refused queries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from jacinthcart.overload import RetryDelayParameters, RetryDelays
from tests.support import ManualClock

_SHARES = st.floats(0, 1)
_DELAYS_S = st.floats(0, 5)
_STEP_S = 0.5
_MIN_SPREAD_S = RetryDelayParameters().min_spread_s


class RetryDelayTests(unittest.TestCase):
    """Retry delays of refused callers."""

    @settings(derandomize=True)
    @given(
        _DELAYS_S,
        _SHARES,
        _SHARES,
        st.floats(-1, 5),
        st.integers(1, 20),
        st.integers(1, 20),
    )
    def test_delay_fits_the_time_left_and_grows_with_the_overload(
        self,
        delay_s: float,
        fraction: float,
        position: float,
        latest_s: float,
        earlier: int,
        later: int,
    ) -> None:
        """Guards against returns that are too late, or soon in vain."""
        delays_s = [
            _play_overload(refusals).compute_retry_after_s(
                delay_s, fraction, position, latest_s
            )
            for refusals in (earlier, earlier + later)
        ]
        self.assertGreaterEqual(delays_s[0], 0)
        self.assertLessEqual(delays_s[0], delays_s[1])
        if latest_s < delay_s:
            # No return is of use, and one at once would only add load.
            self.assertGreaterEqual(delays_s[0], delay_s)
            spread_s = max(_MIN_SPREAD_S, (earlier + later) * _STEP_S)
            self.assertLessEqual(delays_s[1], delay_s + spread_s)
        else:
            self.assertLessEqual(delays_s[1], latest_s)

    def test_longer_overload_spreads_returns_over_more_time(self) -> None:
        """Guards against returns that add to an overload that goes on."""
        delays_s = [
            _play_overload(refusals).compute_retry_after_s(0.1, 0.5, 1, 60)
            for refusals in (4, 8, 16)
        ]
        self.assertEqual(delays_s, sorted(set(delays_s)))

    def test_overload_ends_in_a_calm(self) -> None:
        """Guards against an earlier overload that delays callers today."""
        clock = ManualClock()
        retry_delays = RetryDelays(clock, RetryDelayParameters())
        retry_delays.record_refusal()
        fresh_s = retry_delays.compute_retry_after_s(0, 0, 1, 60)
        clock.advance(60)
        retry_delays.record_refusal()
        self.assertEqual(
            retry_delays.compute_retry_after_s(0, 0, 1, 60), fresh_s
        )


def _play_overload(refusals: int) -> RetryDelays:
    clock = ManualClock()
    retry_delays = RetryDelays(clock, RetryDelayParameters())
    for _ in range(refusals):
        retry_delays.record_refusal()
        clock.advance(_STEP_S)
    return retry_delays
