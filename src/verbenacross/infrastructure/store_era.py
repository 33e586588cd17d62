"""Which life of the store a response belongs to."""

from __future__ import annotations

import logbook

from .exceptions import StoreUnavailableError

# How often the store has been restored from a copy; rises by one each time.
ERA_HEADER = "Store-Era"
MAX_ERA_DIGITS = 18
# Responses of an earlier era in a row after which that era is believed: more than can
# have been under way when the later one began.
MAX_EARLIER_RESPONSES = 10

logger = logbook.Logger("verbenacross.infrastructure.store_era")


class EraTracker:
    """Tracks the highest era of a store's responses."""

    def __init__(self) -> None:
        self.era = 0
        self._earlier_responses = 0

    def record(self, text: str | None, *, may_be_stale: bool = False) -> int:
        """Records the era in the header of a response; returns the latest one.

        A missing or unreadable one is the last one known. Raises
        ``StoreUnavailableError`` if it is lower than that, unless the response may be
        older than the call. A lower era is believed once it has come for long, as the
        higher one was a mistake then.
        """
        if text is None:
            return self.era
        era = parse_era(text)
        if era is None:
            logger.warning("unreadable era of the store", extra={"at": text[:40]})
            return self.era
        if may_be_stale and era < self.era:
            return self.era
        if era < self.era and self._earlier_responses < MAX_EARLIER_RESPONSES:
            if self._earlier_responses == 0:
                extra = {"era": era, "previous_era": self.era}
                logger.warning("era of the store went back", extra=extra)
            self._earlier_responses += 1
            raise StoreUnavailableError(f"response of era {era} after era {self.era}")
        self._earlier_responses = 0
        if era != self.era:
            extra = {"era": era, "previous_era": self.era}
            logger.info("store era", extra=extra)
            self.era = era
        return era


def parse_era(text: str) -> int | None:
    """Returns the era in a header, ``None`` if it is not a whole number."""
    if text.isascii() and text.isdecimal() and len(text) <= MAX_ERA_DIGITS:
        return int(text)
    return None
