"""Sends messages to single peers in order without waiting."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

from ..peers.exceptions import PeerUnreachableError

if TYPE_CHECKING:
    from ..peers import PeerNetwork
    from ..protocol.messages import Message

MAX_QUEUED_MESSAGES = 1_024
IDLE_TIMEOUT_S = 10.0

logger = logbook.Logger("verbenacross.agent.peer_sender")


class PeerSender:
    """One queue and one task for each peer that is being sent to.

    An unreachable peer delays no other. A message that cannot be sent, or that finds
    its queue full, is dropped: every sender repeats what matters.
    """

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._queues: dict[str, asyncio.Queue[Message]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, instance: str, message: Message) -> None:
        """Queues a message for a peer."""
        queue = self._queues.get(instance)
        if queue is None:
            queue = self._queues[instance] = asyncio.Queue(MAX_QUEUED_MESSAGES)
            task = asyncio.create_task(self._send_queued(instance, queue))
            self._tasks[instance] = task
        if not queue.full():
            queue.put_nowait(message)

    async def drain(self, timeout_s: float) -> None:
        """Waits until everything queued was sent or dropped, or the time is over."""
        joins = [queue.join() for queue in self._queues.values()]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.gather(*joins)
        except TimeoutError:
            logger.info("messages to peers left unsent")

    def close(self) -> None:
        """Ends all tasks."""
        for task in self._tasks.values():
            task.cancel()

    async def _send_queued(self, instance: str, queue: asyncio.Queue[Message]) -> None:
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    message = await queue.get()
                try:
                    await self._network.send(instance, message)
                except PeerUnreachableError as error:
                    logger.info("message to {} not sent: {}", instance, error)
                finally:
                    queue.task_done()
        except TimeoutError:
            return
        finally:
            del self._queues[instance]
            del self._tasks[instance]
