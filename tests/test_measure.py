"""A measure must give the same figures again for the same seed.

Otherwise a changed figure could not be told from chance.  This comes
about when a measure draws from a source that its seed does not fix.
"""

from measure.daemons import Fleet
from measure.harness import Pool, Run
from measure.workloads import CHECK, Arrivals, basic_figures


def run_small(seed: int) -> dict[str, float]:
    requests = Arrivals(seed).add(CHECK, 10.0, 0.0, 2.0).sorted_requests()
    run = Run(Fleet(), requests, Pool(engines=2), seed)
    return basic_figures(run.execute(4.0))


def test_same_seed_gives_same_figures_and_other_seed_gives_others() -> None:
    result = run_small(11)
    assert result == run_small(11)
    assert result != run_small(12)
    assert result["in_time"] == result["requests"] > 5
