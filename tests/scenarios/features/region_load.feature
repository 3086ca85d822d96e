Feature: No steering decision overloads a region

  Scenario: A burst stays within the region's limit
    Given the "feed order" deployment runs
    When the first region is limited to 10 requests per second
    And 60 callers ask at once through both entry hosts
    Then the first region never ran more than its limit in the time that passed
    And every complete answer belongs to its own request

  Scenario: Slots hold when both hosts send at once and the leader dies
    Given the "feed order" deployment runs
    And backend servers take different times
    When the leading control host dies
    And 80 callers ask at once through both entry hosts
    Then no backend server was given more requests than its slots

  Scenario: Slots hold after measurements stop and an entry host restarts
    Given the "release signature" deployment runs
    And backend servers take different times
    When the reports of backend servers stop
    And entry host 2 dies
    And entry host 2 starts again
    And 60 callers ask at once through both entry hosts
    Then no backend server was given more requests than its slots
    And every complete answer belongs to its own request

  Scenario: Slots hold in the region that is left when a region and the leader fail
    Given the "release signature" deployment runs
    And backend servers take different times
    When the first region fails
    And the leading control host dies
    And entry host 2 serves callers again
    And 40 callers ask at once through entry host 2
    Then no backend server was given more requests than its slots
