"""Keeps a link to the first coordinator that can be reached."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..feed.members import Member
    from .messages import Fractions, Heartbeat
    from .quota_link import QuotaLink

    MessageHandler = Callable[[QuotaLink, Fractions | Heartbeat], None]
    LinkFactory = Callable[[Member, MessageHandler], QuotaLink]

# A coordinator that cannot be reached or fell silent is not tried again for this time,
# in seconds.
RETRY_DELAY_S = 1.0
# The same for one that closed the link before its first message: it may have not yet
# noticed that it is the coordinator.
REFUSED_RETRY_DELAY_S = 0.3

logger = logbook.Logger("verbenacross.quotas.link")


class LinkSelector:
    """Keeps a link to the first of several coordinators that can be reached.

    ``current`` is the link in use. ``is_own`` is set while the own instance takes the
    place of the coordinator, as those before it cannot be reached.
    """

    def __init__(
        self,
        name: str,
        own_instance: str,
        create_link: LinkFactory,
        on_message: Callable[[Fractions | Heartbeat], None],
    ) -> None:
        self.current: QuotaLink | None = None
        self.is_own = False
        self._name = name
        self._own_instance = own_instance
        self._create_link = create_link
        self._on_message = on_message
        self._links: dict[QuotaLink, asyncio.Task[None]] = {}
        self._retry_at: dict[str, float] = {}
        self._preferred: str | None = None

    def update(self, candidates: list[Member], now: float) -> None:
        """Opens and closes links for the candidates, in order of preference."""
        self._drop_ended(now)
        names = {member.instance for member in candidates}
        for name in self._retry_at.keys() - names:
            del self._retry_at[name]
        for link in [*self._links]:
            if link.peer not in names:
                self._cancel(link)
        preferred = next(
            (
                member
                for member in candidates
                if now >= self._retry_at.get(member.instance, 0.0)
            ),
            None,
        )
        self._preferred = preferred.instance if preferred else None
        if preferred is None:
            self.is_own = False
        elif preferred.instance == self._own_instance:
            self.is_own = True
            for link in [*self._links]:
                self._cancel(link)
        elif preferred.instance not in {link.peer for link in self._links}:
            link = self._create_link(preferred, self._handle_message)
            self._links[link] = asyncio.create_task(link.run())

    def close(self) -> None:
        """Closes all links."""
        self.is_own = False
        for link in [*self._links]:
            self._cancel(link)

    def _handle_message(self, link: QuotaLink, message: Fractions | Heartbeat) -> None:
        if link is not self.current:
            if self.current is not None and link.peer != self._preferred:
                return
            logger.info(
                "quota coordinator found",
                extra={"level": self._name, "peer": link.peer},
            )
            self.current = link
            self.is_own = False
            for other in [*self._links]:
                if other is not link:
                    self._cancel(other)
        self._on_message(message)

    def _drop_ended(self, now: float) -> None:
        for link in [*self._links]:
            if not link.has_ended:
                continue
            del self._links[link]
            if link is self.current:
                self.current = None
                logger.warning(
                    "quota coordinator lost",
                    extra={"level": self._name, "peer": link.peer},
                )
            if link.is_live and link.was_closed:
                # The peer may run, or another one may be the coordinator again.
                self._retry_at.clear()
            elif link.was_closed:
                self._retry_at[link.peer] = now + REFUSED_RETRY_DELAY_S
            else:
                self._retry_at[link.peer] = now + RETRY_DELAY_S

    def _cancel(self, link: QuotaLink) -> None:
        self._links.pop(link).cancel()
        if link is self.current:
            self.current = None
