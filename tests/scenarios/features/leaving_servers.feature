Feature: A backend server that is leaving receives no new work after a few seconds

  Scenario: A leaving server finishes what runs and gets nothing new
    Given the "feed order" deployment runs
    And backend servers hold their requests
    When 8 callers wait at entry host 1
    And one backend server of the first region says that it is leaving
    And every entry host knows that it is leaving
    And backend servers answer again
    And 30 look-ups of stock are sent through entry host 1
    Then the leaving server received no new work
    And the work that it was running ended untouched
    And every caller got the complete answer to its own request

  Scenario: A planned drain of a zone empties its servers
    Given the "release signature" deployment runs
    When 10 look-ups of stock are sent through entry host 1
    And a planned drain of the first region's first zone is applied
    And every entry host knows that it is leaving
    And 30 look-ups of stock are sent through entry host 1
    Then the leaving server received no new work
    And every caller got the complete answer to its own request

  Scenario: A server leaves while the leader is lost
    Given the "feed order" deployment runs
    When the leading control host dies
    And one backend server of the first region says that it is leaving
    And every entry host knows that it is leaving
    And entry host 1 serves callers again
    And 20 look-ups of stock are sent through entry host 1
    Then the leaving server received no new work
