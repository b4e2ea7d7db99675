"""Leases, the shared token bucket and the calls to the counter, without the network."""

from __future__ import annotations

import itertools

from gateway.policy.actions import IncrementCounter, StartAttempt
from gateway.policy.events import CounterResponse, Outcome
from gateway.policy.leases import LEASE_MS, REFRESH_INTERVAL_MS
from tests.support.policy_harness import PolicyHarness, attempts_in, counter_calls_in, rejections_in


def drain(world: PolicyHarness, tries: int, gap: float = 0.0, **ask: object) -> int:
    """How many of so many tries were sent on, each answered at once."""
    sent = 0
    for _ in range(tries):
        for send in attempts_in(world.request(**ask)):  # type: ignore[arg-type]
            sent += 1
            world.end_attempt(send)
        world.pass_time(gap)
    return sent


def answer(
    world: PolicyHarness, call: IncrementCounter, reading: float, outcome: Outcome = Outcome.OK
) -> None:
    world.deliver(CounterResponse(call.name, outcome, reading))


def test_a_new_lease_holds_its_fair_share_of_the_burst() -> None:
    assert drain(PolicyHarness(), 20) == 4  # burst 8 over two gateways


def test_a_request_beyond_the_bucket_is_rejected_at_once_with_a_retry_after() -> None:
    world = PolicyHarness()
    drain(world, 4)
    (refusal,) = rejections_in(world.request())
    assert 0 < refusal.retry_after_ms <= 500


def test_the_bucket_refills_at_the_fair_share() -> None:
    world = PolicyHarness(counter_available=False)
    drain(world, 10)
    assert drain(world, 100, gap=100) in (9, 10, 11)  # one a second for ten seconds


def test_a_refresh_reports_all_demand_rejected_requests_too() -> None:
    world = PolicyHarness()
    adds: list[tuple[float, IncrementCounter]] = []
    for _ in range(100):
        for call in counter_calls_in(world.request()):
            answer(world, call, 100.0)
            adds.append((world.now, call))
        world.pass_time(50)
    waiting = world.policy.leases.by_customer["c"].unreported_usage
    assert sum(call.amount for _, call in adds) + waiting == 100
    assert all(b - a >= REFRESH_INTERVAL_MS for (a, _), (b, _) in itertools.pairwise(adds))
    assert all(call.expires_in_ms <= 60_000 for _, call in adds)


def test_the_lease_is_this_gateway_s_share_of_the_demand_of_all() -> None:
    world, total = PolicyHarness(), 50.0
    for _ in range(60):  # ten a second here, forty by all: far past the quota of two
        for call in counter_calls_in(world.request()):
            total += 4 * call.amount
            answer(world, call, total)
        world.pass_time(100)
        total = total if world.now % 4000 > 100 else 50.0
    assert 0.2 < world.policy.leases.by_customer["c"].share < 0.3


def test_a_gateway_with_all_the_demand_holds_the_whole_quota() -> None:
    world, total, period = PolicyHarness(), 0.0, ""
    for _ in range(60):
        for call in counter_calls_in(world.request()):
            if call.amount:
                total = call.amount + (total if call.name.split(":")[0] == period else 2.0)
                period = call.name.split(":")[0]
            answer(world, call, total)
        world.pass_time(100)
    assert world.policy.leases.by_customer["c"].share > 0.95


def test_an_expired_lease_reverts_to_the_fair_share() -> None:
    world = PolicyHarness()
    (call,) = counter_calls_in(world.request())
    answer(world, call, 3.0)
    customer = world.policy.leases.by_customer["c"]
    customer.share = 0.9
    for _ in range(int(LEASE_MS // 1000)):
        for call in counter_calls_in(world.request()):
            answer(world, call, 0, Outcome.TIMED_OUT)
        assert customer.share == 0.9, "failed refreshes keep the lease until it ends"
        world.pass_time(1000)
    world.pass_time(500)
    world.request()
    assert customer.share == 0.5


def test_a_counter_that_lost_its_totals_leaves_the_lease_until_a_period_is_complete() -> None:
    """Danger: a counter that lost its numbers looks as if nobody had asked for anything."""
    world = PolicyHarness()
    (call,) = counter_calls_in(world.request())
    answer(world, call, 30.0)
    customer = world.policy.leases.by_customer["c"]
    customer.share, customer.tokens = 0.25, 0.0
    world.pass_time(600)
    (call,) = counter_calls_in(world.request())
    answer(world, call, call.amount + 1)
    assert customer.share == 0.25
    assert customer.tokens <= 0.5


def test_a_reading_at_the_very_start_of_a_period_is_survived() -> None:
    """Danger: a period whose start is rounded to just after now, and just the burst asked."""
    world = PolicyHarness()
    world.request()
    customer = world.policy.leases.by_customer["c"]
    customer.resize(12_000 - 1e-9, 3, 1.0, 8.0)
    assert customer.tokens >= 0


def test_the_first_call_of_a_period_carries_over_what_the_last_one_owed() -> None:
    world = PolicyHarness()
    (call,) = counter_calls_in(world.request())
    world.deliver(CounterResponse(call.name, Outcome.OK, call.amount))
    read = world.log[-1][1]
    assert isinstance(read, IncrementCounter)
    assert read.amount == 0
    assert read.name != call.name
    world.deliver(CounterResponse(read.name, Outcome.OK, 11.0))  # burst 8, and 8 paid back in the period
    owed = world.log[-1][1]
    assert isinstance(owed, IncrementCounter)
    assert owed.amount == 3
    assert owed.name == call.name


def test_usage_is_reported_again_after_a_rejected_call_but_not_after_a_time_out() -> None:
    for outcome, again in ((Outcome.TIMED_OUT, 1.0), (Outcome.QUEUE_FULL, 2.0)):
        world = PolicyHarness()
        (call,) = counter_calls_in(world.request())
        answer(world, call, 0, outcome)
        world.policy.counter_throttle.capacity = 1.0
        world.pass_time(600)
        (call,) = counter_calls_in(world.request())
        assert call.amount == again


def test_calls_to_a_crowded_counter_still_add_up_to_the_demand() -> None:
    """Danger: a skipped add shrinks the total, everyone sees too few wants and grants too much."""
    world = PolicyHarness()
    added, asked = 0.0, 4000
    for _ in range(asked):
        world.policy.counter_throttle.capacity = 0.4
        for call in counter_calls_in(world.request()):
            added += call.amount
            answer(world, call, 500.0)
        world.pass_time(400)
    assert 0.9 * asked < added < 1.1 * asked


def test_a_request_on_a_sparse_lease_waits_for_the_shared_bucket() -> None:
    """Danger: spread over a hundred gateways, a local bucket of one unit each is a hundred units in all."""
    for reading, sent in ((5.0, 1), (1e9, 0)):
        world = PolicyHarness()
        actions = world.request(gateway_set_size=100)
        (call,) = counter_calls_in(actions)
        assert not attempts_in(actions)
        assert not rejections_in(actions)
        world.deliver(CounterResponse(call.name, Outcome.OK, reading))
        assert len(attempts_in(a for _, a in world.log)) == sent
        assert len(rejections_in(a for _, a in world.log)) == 1 - sent


def test_a_request_that_waits_for_a_silent_counter_is_admitted() -> None:
    world = PolicyHarness()
    world.request(gateway_set_size=100)
    assert len(attempts_in(world.pass_time(200))) == 1


def test_many_gateways_hold_a_flooding_customer_to_its_quota_and_admit_a_calm_one() -> None:
    """Danger: at hundreds of gateways the even share is under one request each."""
    worlds = [PolicyHarness(seed=i, gateway_count=120, gateway_index=i) for i in range(120)]
    numbers: dict[str, float] = {}
    sent = {"calm": 0, "flood": 0}

    def play(world: PolicyHarness, customer: str) -> None:
        todo = world.request(customer=customer, gateway_set_size=120)
        while todo:
            action = todo.pop(0)
            if isinstance(action, IncrementCounter):
                numbers[action.name] = numbers.get(action.name, 0.0) + action.amount
                todo += world.deliver(CounterResponse(action.name, Outcome.OK, numbers[action.name]))
            elif isinstance(action, StartAttempt):
                sent[customer] += 1
                todo += world.end_attempt(action)

    for step in range(600):  # a minute: ten a second against a quota of two, and one a second
        world = worlds[step * 37 % 120]
        world.pass_time(10_000 + step * 100 - world.now)
        play(world, "flood")
        if step % 10 == 0:
            play(world, "calm")
    assert sent["calm"] == 60
    assert 0.6 * 120 < sent["flood"] < 1.3 * 128  # two a second for a minute and a burst of eight


def test_idle_customers_are_forgotten() -> None:
    world = PolicyHarness()
    for i in range(500):
        for send in attempts_in(world.request(customer=f"once{i}")):
            world.end_attempt(send)
    world.pass_time(3 * LEASE_MS)
    world.request()
    assert len(world.policy.leases.by_customer) == 1


def test_a_response_for_a_forgotten_customer_is_ignored() -> None:
    world = PolicyHarness()
    call = counter_calls_in(
        world.request() + world.request() + world.request() + world.request() + world.request()
    )[0]
    world.policy.leases.by_customer.clear()
    answer(world, call, 5.0)
    answer(world, call, 5.0)


def test_no_plan_and_no_rate_means_no_quota() -> None:
    world = PolicyHarness(plans=(), counter_available=False)
    assert drain(world, 50, gap=10) == 50


def test_a_hard_limit_is_split_evenly_and_starts_empty() -> None:
    """Danger: a restarted gateway that starts with a full store spends the ceiling twice."""
    world = PolicyHarness()
    assert not attempts_in(world.request(plan="firm"))
    world.pass_time(1000)  # half of twenty a second
    assert drain(world, 100, plan="firm") == 10


def test_attempts_in_flight_are_held_to_this_gateway_s_share_of_the_concurrency_limit() -> None:
    world = PolicyHarness()
    world.pass_time(10_000)
    assert len([s for _ in range(20) for s in attempts_in(world.request(plan="firm"))]) == 4  # eight over two


def test_requests_beyond_quota_pass_only_where_they_earn_and_capacity_is_spare() -> None:
    world = PolicyHarness(counter_available=False)
    assert drain(world, 30, gap=1, plan="bonus") == 30
    slow = PolicyHarness(counter_available=False)
    for _ in range(60):
        slow.request(plan="basic", customer=f"x{slow.next_request_id}")
    slow.policy.stats.response_rate = 20.0  # sixty out at twenty answers a second: far from spare
    assert drain(slow, 30, plan="bonus") <= 2


def test_refreshes_become_rarer_while_the_counter_fails_calls_and_recover() -> None:
    """Danger: a crowded counter fails everybody's calls, and their number keeps it crowded."""

    def calls(world: PolicyHarness, outcome: Outcome) -> int:
        seen = 0
        for _ in range(1200):
            for call in counter_calls_in(world.request()):
                seen += 1
                answer(world, call, 2.0, outcome)
            world.pass_time(50)
        return seen

    world = PolicyHarness()
    well, crowded = calls(world, Outcome.OK), calls(world, Outcome.QUEUE_FULL)
    assert 0 < crowded < well * 0.7
    calls(world, Outcome.OK)
    calls(world, Outcome.OK)
    assert calls(world, Outcome.OK) >= well * 0.8


def crowded(world: PolicyHarness) -> PolicyHarness:
    world.policy.counter_throttle.capacity = 0.1
    return world


def test_an_emptied_bucket_is_read_again_once_it_can_be_full() -> None:
    """Danger: after one burst a customer is refused unread for as long as the counter is crowded."""
    asked = {5_000: 0, 12_000: 0}  # burst 8 at two a second: from empty to full in four seconds
    for gap in asked:
        for seed in range(40):
            world = PolicyHarness(seed=seed)
            (call,) = counter_calls_in(world.request(gateway_set_size=100))
            answer(world, call, 1e3)
            crowded(world).pass_time(gap)
            asked[gap] += len(counter_calls_in(world.request(gateway_set_size=100)))
    assert asked[5_000] <= 2, "it is likely still short"
    assert asked[12_000] >= 15


def test_a_plan_that_loses_nothing_beyond_its_quota_is_served_unread() -> None:
    """Danger: a call that can't gain anything crowds the counter, and without it a customer is refused."""
    world, sent, asked = PolicyHarness(), 0, 0
    for _ in range(20):
        world.request(plan="none", customer="other")  # out: capacity is not spare, nor short
    world.policy.stats.response_rate, world.policy.stats.responded_at = 100.0, world.now
    for _ in range(20):
        actions = crowded(world).request(plan="bonus", gateway_set_size=100)
        asked += len(counter_calls_in(actions))
        sent += len(attempts_in(actions))
    assert asked <= 2
    assert sent >= 18
