Feature: An accepted configuration takes effect everywhere and never reverts

  Scenario: Two operators race with equal numbers
    Given the "feed order" deployment runs
    When two operators apply different changes with the same number at once
    Then exactly one of them is accepted and the other is told the conflict

  Scenario: A change sent again after the leader was lost is applied once
    Given the "release signature" deployment runs
    When an operator applies a change as request "change-1"
    And the leading control host dies
    And the same change is sent again as request "change-1"
    Then both sendings got the same revision
    And the newest revision is in force on every entry host

  Scenario: A control host restarts after hundreds of changes were made without it
    Given the "feed order" deployment runs
    When the leading control host dies
    And another control host leads
    And 200 changes are accepted
    And the control host that died starts again
    Then the control host that died has caught up
    And the newest revision is in force on every entry host
    And no entry host ever goes back to an older revision

  Scenario: A control host that was cut off for long never brings back old state
    Given the "release signature" deployment runs
    When the leading control host is cut off without notice
    And 20 changes are accepted
    And entry host 1 dies
    And entry host 1 starts again
    Then the newest revision is in force on every entry host
    And no entry host ever goes back to an older revision

  Scenario: A second host is lost right after the first one was repaired
    Given the "feed order" deployment runs
    When 5 changes are accepted
    And a control host loses its disk and is repaired
    And another control host is lost right after
    And 5 changes are accepted
    Then the newest revision is in force on every entry host

  Scenario: Two operators race while the leader was cut off without notice
    Given the "release signature" deployment runs
    When the leading control host is cut off without notice
    And two operators apply different changes with the same number at once
    Then exactly one of them is accepted and the other is told the conflict
