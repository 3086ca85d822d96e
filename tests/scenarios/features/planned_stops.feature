Feature: A planned stop loses no request in flight

  Scenario: An entry host completes its requests before it stops
    Given the "feed order" deployment runs
    And backend servers block their requests
    When 4 callers wait at entry host 1
    And entry host 1 starts a planned stop
    Then look-ups at entry host 2 no longer return entry host 1
    When backend servers answer again
    And the planned stop has ended
    Then every caller got the complete answer to its own request

  Scenario: A caller with a cached look-up is served during a planned stop
    Given the "release signature" deployment runs
    When entry host 1 starts a planned stop
    And 1 stock requests are sent through entry host 1
    And the planned stop has ended
    Then every caller got the complete answer to its own request

  Scenario: A planned stop while the leader dies loses no request
    Given the "feed order" deployment runs
    And backend servers block their requests
    When a caller sends "order-9" through entry host 1 and waits
    And entry host 1 starts a planned stop
    And the leader dies
    And backend servers answer again
    And the planned stop has ended
    Then every caller got the complete answer to its own request
    And "order-9" ran 1 time
