"""Instances and coordinators on virtual time, with messages that arrive late."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter, deque

from verbenacross.quotas.codec import encode_message
from verbenacross.quotas.customer_usage import InstanceUsage, UsageReporter
from verbenacross.quotas.messages import Fractions, Heartbeat, Hello
from verbenacross.quotas.quota_coordinator import QuotaCoordinator

STEP_S = 0.05
TICK_S = 0.1
REMOTE_DELAY_S = 0.03
LOCAL_DELAY_S = 0.002


class Instance:
    """An instance that reports to the coordinator of its domain."""

    def __init__(self, fleet, name, domain, phase):
        self.fleet, self.name, self.domain = fleet, name, domain
        self.next_at = phase
        self.paused_until = 0.0
        self.usage = InstanceUsage(fleet.generator, fleet.now)
        self.usage.set_limits(fleet.limits)
        self.usage.instance_count = fleet.count
        self.reporter = None
        self.link = None
        self.coordinator = None
        self.sent_at = 0.0
        self.sent_version = {}
        self.heartbeat_at = {}

    def start_coordinating(self):
        self.coordinator = QuotaCoordinator(self.domain, self.fleet.now)
        self.coordinator.set_limits(self.fleet.limits, self.fleet.now)
        self.coordinator.set_domains(frozenset(self.fleet.domains))
        if self is self.fleet.root:
            self.coordinator.lead(self.fleet.now)
        self.sent_version, self.heartbeat_at = {}, {}

    def tick(self, now):
        """Does what the links and the update loop do."""
        parent = self.fleet.coordinators[self.domain]
        if self.link != (parent, parent.coordinator):
            self.link = (parent, parent.coordinator)
            self.reporter = UsageReporter(self.usage)
            parent.coordinator.connect(
                self.name, Hello(self.name, self.domain, False), now
            )
        report = self.reporter.take_report(now)
        if report or now - self.sent_at > 0.4:
            self.sent_at = now
            report = report or self.reporter.take_heartbeat()
            self.fleet.send(self, parent, (self.name, report), is_remote=False)
        if self.coordinator is not None:
            self.tick_coordinator(now)

    def tick_coordinator(self, now):
        coordinator, root = self.coordinator, self.fleet.root
        coordinator.update(now)
        if self is not root:
            link = (root, root.coordinator)
            if getattr(self, "root_link", None) != link:
                self.root_link, self.root_sent_at = link, now
                coordinator.open_root_link()
                root.coordinator.connect(
                    self.name, Hello(self.name, self.domain, True), now
                )
            report = coordinator.take_report(now)
            if report is None and now - self.root_sent_at > 0.4:
                report = coordinator.take_heartbeat()
            if report is not None:
                self.root_sent_at = now
                self.fleet.send(self, root, (self.name, report), is_remote=True)
        self.send_fractions(now)

    def send_fractions(self, now):
        """Sends changes to the children, or a heartbeat every 0.2 s."""
        for name, child in self.coordinator.children.items():
            receiver = self.fleet.instances[name]
            is_remote = child.hello.is_coordinator
            sent, sent_at = self.sent_version.get(name, (None, -math.inf))
            message = self.coordinator.get_fractions(child.hello)
            is_changed = message.fractions != sent
            if now - sent_at >= 1 or (is_changed and now - sent_at >= 0.2 * is_remote):
                self.sent_version[name] = message.fractions, now
            elif now - self.heartbeat_at.get(name, 0.0) >= 0.2 - 1e-6:
                message = Heartbeat(message.version)
            else:
                continue
            self.heartbeat_at[name] = now
            self.fleet.send(self, receiver, message, is_remote=is_remote)

    def receive(self, sender, message, now):
        if isinstance(message, tuple) and isinstance(message[0], str):
            version = self.coordinator.version if self.coordinator else None
            if self.coordinator is not None:
                self.coordinator.receive(*message, now)
                if self.coordinator.version != version:
                    self.send_fractions(now)
            return
        is_from_root = sender.domain != self.domain
        if is_from_root and self.coordinator is None:
            return
        match message:
            case Fractions() if is_from_root:
                self.coordinator.receive_fractions(message.fractions, now)
                self.send_fractions(now)
            case Heartbeat() if is_from_root:
                self.coordinator.record_root_heartbeat(now)
            case Fractions():
                self.usage.set_fractions(message.fractions, now)
            case Heartbeat():
                self.usage.record_heartbeat(now)


class Fleet:
    """Instances in several domains; the first of each is its coordinator."""

    def __init__(self, count, domain_count, limits, seed=1, loss=0.0, duplicates=0.0):
        self.generator = random.Random(seed)
        self.count, self.limits, self.loss, self.duplicates = (
            count,
            limits,
            loss,
            duplicates,
        )
        self.now, self.extra_delay_s = 0.0, 0.0
        self.domains = [f"zone-{index}" for index in range(domain_count)]
        self.queue, self.order = [], itertools.count()
        self.cut = set()
        self.refund_share = 0.0
        self.messages, self.bytes = Counter(), Counter()
        self.instances = {}
        self.demand, self.admitted = Counter(), Counter()
        self.windows = {name: deque() for name in limits}
        self.largest = Counter()
        for index in range(count):
            name = f"node-{index}"
            phase = self.generator.uniform(0, TICK_S)
            domain = self.domains[index % domain_count]
            self.instances[name] = Instance(self, name, domain, phase)
        self.coordinators = {
            domain: self.instances[f"node-{index}"]
            for index, domain in enumerate(self.domains)
        }
        self.root = self.coordinators[self.domains[0]]
        for coordinator in self.coordinators.values():
            coordinator.start_coordinating()
        # A part of the instances receives most of the requests.
        self.weights = {name: self.generator.expovariate(1) for name in self.instances}
        self.names = list(self.instances)

    def send(self, sender, receiver, message, *, is_remote):
        if sender is receiver:
            receiver.receive(sender, message, self.now)
            return
        kind = "remote" if is_remote else "local"
        self.messages[kind] += 1
        body = message[1] if isinstance(message[0], str) else message
        self.bytes[kind] += len(encode_message(body))
        if self.cut & {sender.name, receiver.name}:
            return
        for _ in range(1 + (self.generator.random() < self.duplicates)):
            if self.generator.random() >= self.loss:
                delay_s = REMOTE_DELAY_S if is_remote else LOCAL_DELAY_S
                delay_s += self.generator.uniform(0, self.extra_delay_s)
                entry = (
                    self.now + delay_s,
                    next(self.order),
                    sender,
                    receiver,
                    message,
                )
                heapq.heappush(self.queue, entry)

    def run(self, duration_s, rates):
        """Runs with the given requests per second of each customer."""
        end = self.now + duration_s
        weights = list(self.weights.values())
        while self.now < end - 1e-9:
            self.now += STEP_S
            events = []
            for customer, rate in rates.items():
                for _ in range(self.draw_poisson(rate * STEP_S)):
                    at = self.now - self.generator.uniform(0, STEP_S)
                    name = self.generator.choices(self.names, weights)[0]
                    events.append((at, next(self.order), name, customer))
            for name, instance in self.instances.items():
                while instance.next_at <= self.now:
                    events.append((instance.next_at, next(self.order), name, None))
                    instance.next_at += TICK_S
            for entry in events:
                heapq.heappush(self.queue, entry)
            limit, self.now = self.now, self.now - STEP_S
            while self.queue and self.queue[0][0] <= limit:
                at, _, target, *rest = heapq.heappop(self.queue)
                self.now = at
                self.handle(target, rest, at)
            self.now = limit

    def handle(self, target, rest, at):
        instance = self.instances[target] if isinstance(target, str) else rest[0]
        if at < instance.paused_until:
            heapq.heappush(
                self.queue, (instance.paused_until, next(self.order), target, *rest)
            )
        elif not isinstance(target, str):
            instance.receive(target, rest[1], at)
        elif rest[0] is None:
            instance.tick(at)
        else:
            self.request(instance, rest[0], at)

    def request(self, instance, customer, at):
        self.demand[customer] += 1
        if instance.usage.admit(customer, at) is None:
            if self.generator.random() < self.refund_share:
                instance.usage.refund(customer, at)
                return
            self.admitted[customer] += 1
            self.record(customer, at)

    def record(self, customer, at):
        window = self.windows[customer]
        window.append(at)
        while window[0] <= at - 5:
            window.popleft()
        self.largest[customer] = max(self.largest[customer], len(window))

    def restart(self, name):
        """Replaces an instance; its counts and connections are lost."""
        old = self.instances[name]
        new = Instance(self, name, old.domain, self.now)
        self.instances[name] = new
        if old is self.root:
            self.root = new
        if self.coordinators[old.domain] is old:
            self.coordinators[old.domain] = new
            new.start_coordinating()

    def change_root(self, domain):
        """Makes the coordinator of a domain the root."""
        self.root.coordinator.follow(self.now)
        self.root = self.coordinators[domain]
        self.root.coordinator.lead(self.now)

    def change_limits(self, limits):
        """Applies a configuration to all instances."""
        self.limits = limits
        for instance in self.instances.values():
            instance.usage.set_limits(limits)
            if instance.coordinator is not None:
                instance.coordinator.set_limits(limits, self.now)

    def draw_poisson(self, mean):
        threshold, count, product = math.exp(-mean), 0, self.generator.random()
        while product > threshold:
            count += 1
            product *= self.generator.random()
        return count
