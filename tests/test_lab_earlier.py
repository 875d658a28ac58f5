"""An earlier decision module under the current lab: a revision from before the renames in the module's
interface still runs, and makes the same decisions as the current module."""

from __future__ import annotations

from types import ModuleType

import pytest

from lupinmill import rules, terms, workings
from lupinmill.lab import earlier_names, experiments

BEFORE_RENAMES = "c00b75a"  # `Launch(submission=...)`, `Desk`, `Mail`


@pytest.mark.parametrize("scenario", ["errors-and-resets", "two-tiers"])
def test_a_revision_from_before_the_renames_plays_as_todays_does(scenario: str) -> None:
    changes = (("seconds", "8"),)
    current = experiments.Variant("today", scenario, changes=changes)
    earlier = experiments.Variant("before", scenario, changes=changes, revision=BEFORE_RENAMES)
    found = experiments.compare(current, earlier, [1, 2], max_workers=2)
    for seed in (1, 2):
        one, two = found.results["today"][seed], found.results["before"][seed]
        assert one.complete and two.complete and one.figures.handled > 100
        assert one.steps == two.steps and one.figures == two.figures and one.rules == two.rules


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
