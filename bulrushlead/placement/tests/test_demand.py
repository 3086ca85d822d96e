from bulrushlead.placement import DemandMeter
from bulrushlead.placement._demand import MAX_ENTRIES


def test_work_is_summed_by_server_and_object_and_reported_once():
    meter = DemandMeter()
    meter.record("s1", 7, 200.0)
    meter.record("s1", 7, 100.0)
    meter.record("s2", 7, 50.0)
    assert meter.pop() == {"s1": {7: 300.0}, "s2": {7: 50.0}}
    assert meter.pop() == {}


def test_report_is_bounded_and_the_next_one_counts_again():
    meter = DemandMeter()
    for digest in range(MAX_ENTRIES + 10):
        meter.record("s1", digest, 1.0)
    meter.record("s1", 0, 1.0)
    report = meter.pop()["s1"]
    assert len(report) == MAX_ENTRIES
    assert report[0] == 2.0
    meter.record("s1", MAX_ENTRIES + 1, 1.0)
    assert meter.pop() == {"s1": {MAX_ENTRIES + 1: 1.0}}
