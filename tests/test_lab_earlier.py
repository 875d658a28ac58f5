"""An earlier decision module under the current lab: a revision from before the renames in the module's
interface still runs, and makes the same decisions as the current module, or as the last that is meant to."""

from __future__ import annotations

from types import ModuleType

import pytest

from lupinmill import rules, terms, workings
from lupinmill.lab import earlier_names, experiments
from lupinmill.lab.result import Result

BEFORE_RENAMES = "c00b75a"  # `Launch(submission=...)`, `Desk`, `Mail`
BEFORE_SOONER_CALLS = "b786281"  # the first call to discovery comes later than today, where it is asked
SEEDS = [1, 2]
SCENARIOS = ["errors-and-resets", "two-tiers"]


Changes = tuple[tuple[str, str], ...]


def results(scenario: str, changes: Changes, revision: str) -> tuple[list[Result], list[Result]]:
    """Of today's module and of the revision's, by seed."""
    current = experiments.Variant("today", scenario, changes=changes)
    earlier = experiments.Variant("before", scenario, changes=changes, revision=revision)
    found = experiments.compare(current, earlier, SEEDS, max_workers=2).results
    return [found["today"][seed] for seed in SEEDS], [found["before"][seed] for seed in SEEDS]


def assert_same_decisions(first: list[Result], second: list[Result]) -> None:
    for one, two in zip(first, second, strict=True):
        assert one.complete and two.complete and one.figures.handled > 100
        assert one.steps == two.steps and one.figures == two.figures and one.rules == two.rules


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_revision_from_before_the_renames_plays_as_todays_does(scenario: str) -> None:
    """Where lists are pushed: the first call to discovery was changed since."""
    changes = (("seconds", "8"), ("discovery.how", "push"))
    assert_same_decisions(*results(scenario, changes, BEFORE_RENAMES))


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_revision_from_before_the_renames_plays_as_the_last_of_the_same_decisions(scenario: str) -> None:
    changes = (("seconds", "8"), ("discovery.how", "ask"))
    _, before_renames = results(scenario, changes, BEFORE_RENAMES)
    _, before_sooner_calls = results(scenario, changes, BEFORE_SOONER_CALLS)
    assert_same_decisions(before_renames, before_sooner_calls)


def test_every_name_in_the_table_is_one_of_today() -> None:
    """Guards against a rename that is missing from the table: older modules would no longer run."""
    modules: dict[str, ModuleType] = {"terms": terms, "workings": workings, "rules": rules}
    assert modules.keys() == earlier_names.CLASSES.keys() == earlier_names.ATTRIBUTES.keys()
    for name, module in modules.items():
        classes = earlier_names.CLASSES[name]
        assert all(hasattr(module, current) for current in classes.values())
        for earlier, attributes in earlier_names.ATTRIBUTES[name].items():
            cls = getattr(module, classes.get(earlier, earlier))
            for before, current in attributes.items():
                assert earlier_names.has_attribute(cls, current), f"{earlier}.{before}: {current}"
                assert not earlier_names.has_attribute(cls, before), f"{earlier}.{before} is still there"
