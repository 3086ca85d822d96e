Feature: A draining backend server receives no new work after a few seconds

  Scenario: A draining server completes its requests and receives no new ones
    Given the "feed order" deployment runs
    And backend servers block their requests
    When 8 callers wait at entry host 1
    And one backend server of the first region starts draining
    And every entry host sees the server as draining
    And backend servers answer again
    And 30 stock requests are sent through entry host 1
    Then the draining server received no new work
    And the requests that it was running completed
    And every caller got the complete answer to its own request

  Scenario: A planned drain of a zone empties its servers
    Given the "release signature" deployment runs
    When 10 stock requests are sent through entry host 1
    And a planned drain of the first region's first zone is applied
    And every entry host sees the server as draining
    And 30 stock requests are sent through entry host 1
    Then the draining server received no new work
    And every caller got the complete answer to its own request

  Scenario: A server drains while the leader is lost
    Given the "feed order" deployment runs
    When the leader dies
    And one backend server of the first region starts draining
    And every entry host sees the server as draining
    And entry host 1 serves callers again
    And 20 stock requests are sent through entry host 1
    Then the draining server received no new work
