Feature: A planned stop cuts off no request that is in flight

  Scenario: An entry host finishes what runs before it stops
    Given the "feed order" deployment runs
    And backend servers hold their requests
    When 4 callers wait at entry host 1
    And entry host 1 begins a planned stop
    Then look-ups at entry host 2 no longer name entry host 1
    When backend servers answer again
    And the planned stop is over
    Then every caller got the complete answer to its own request

  Scenario: A caller with a cached answer is served during a planned stop
    Given the "release signature" deployment runs
    When entry host 1 begins a planned stop
    And 1 look-ups of stock are sent through entry host 1
    And the planned stop is over
    Then every caller got the complete answer to its own request

  Scenario: A planned stop while the leader dies cuts off nothing
    Given the "feed order" deployment runs
    And backend servers hold their requests
    When a caller sends "order-9" through entry host 1 and waits
    And entry host 1 begins a planned stop
    And the leading control host dies
    And backend servers answer again
    And the planned stop is over
    Then every caller got the complete answer to its own request
    And "order-9" ran 1 time
