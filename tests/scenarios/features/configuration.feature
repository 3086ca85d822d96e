Feature: An accepted configuration takes effect everywhere and never reverts

  Scenario: Two operators change the same revision at once
    Given the "feed order" deployment runs
    When two operators apply different changes to the same revision at once
    Then exactly one of them is accepted and the other is refused as a conflict

  Scenario: A change that is resent after the loss of the leader is applied once
    Given the "release signature" deployment runs
    When an operator applies a change as request "change-1"
    And the leader dies
    And the same change is sent again as request "change-1"
    Then both requests returned the same revision
    And the newest revision is in force on every entry host

  Scenario: A control host restarts after it has missed hundreds of changes
    Given the "feed order" deployment runs
    When the leader dies
    And another control host becomes leader
    And 200 changes are accepted
    And the control host that died starts again
    Then the control host that died has caught up
    And the newest revision is in force on every entry host
    And no entry host reverts to an older revision

  Scenario: A partitioned control host never restores old state
    Given the "release signature" deployment runs
    When the leader is cut off without notice
    And 20 changes are accepted
    And entry host 1 dies
    And entry host 1 starts again
    Then the newest revision is in force on every entry host
    And no entry host reverts to an older revision

  Scenario: A second control host is lost right after the first one has rejoined
    Given the "feed order" deployment runs
    When 5 changes are accepted
    And a control host loses its disk and rejoins as a voter
    And another control host is lost immediately afterwards
    And 5 changes are accepted
    Then the newest revision is in force on every entry host

  Scenario: Two operators change the same revision while the leader is partitioned
    Given the "release signature" deployment runs
    When the leader is cut off without notice
    And two operators apply different changes to the same revision at once
    Then exactly one of them is accepted and the other is refused as a conflict
