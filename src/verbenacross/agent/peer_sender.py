"""Queues and sends messages to individual peers."""

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
    """Sends messages to each peer in order, with one queue and one task per peer.

    An unreachable peer does not delay the others. A message is dropped if it cannot be
    sent or if the queue is full: senders repeat all messages that matter.
    """

    def __init__(self, network: PeerNetwork) -> None:
        self._network = network
        self._queues: dict[str, asyncio.Queue[Message]] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, instance: str, message: Message) -> None:
        """Queues a message for a peer; drops it if the queue is full."""
        queue = self._queues.get(instance)
        if queue is None:
            queue = self._queues[instance] = asyncio.Queue(MAX_QUEUED_MESSAGES)
            task = asyncio.create_task(self._send_queued(instance, queue))
            self._tasks[instance] = task
        if not queue.full():
            queue.put_nowait(message)

    async def drain(self, timeout_s: float) -> None:
        """Waits until all queued messages were sent or dropped, up to a time-out."""
        joins = [queue.join() for queue in self._queues.values()]
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.gather(*joins)
        except TimeoutError:
            logger.info("timed out sending the remaining messages to peers")

    def close(self) -> None:
        """Cancels all sending tasks."""
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
                    logger.info("failed to send a message to {}: {}", instance, error)
                finally:
                    queue.task_done()
        except TimeoutError:
            return
        finally:
            del self._queues[instance]
            del self._tasks[instance]
