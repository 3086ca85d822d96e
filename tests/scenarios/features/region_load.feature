Feature: No steering decision overloads a region

  Scenario: A burst stays within the region's limit
    Given the "feed order" deployment runs
    When every region is limited to 10 requests per second
    And 60 callers send at once through both entry hosts
    Then the first region never ran more requests than its rate limit allows
    And every complete answer belongs to its own request

  Scenario: Slots are not exceeded when both hosts send at once and the leader dies
    Given the "feed order" deployment runs
    And backend servers have different service times
    When the leader dies
    And 80 callers send at once through both entry hosts
    Then no backend server received more requests than its slots

  Scenario: Slots are not exceeded after reports stop and an entry host restarts
    Given the "release signature" deployment runs
    And backend servers have different service times
    When backend servers stop reporting
    And entry host 2 dies
    And entry host 2 starts again
    And 60 callers send at once through both entry hosts
    Then no backend server received more requests than its slots
    And every complete answer belongs to its own request

  Scenario: Slots are not exceeded in the remaining region when a region and the leader fail
    Given the "release signature" deployment runs
    And backend servers have different service times
    When the first region fails
    And the leader dies
    And entry host 2 serves callers again
    And 40 callers send at once through entry host 2
    Then no backend server received more requests than its slots
