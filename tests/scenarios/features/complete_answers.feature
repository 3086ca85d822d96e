Feature: Every caller receives the complete answer to its own request

  Scenario: Answers that arrive out of order reach their own callers
    Given the "feed order" deployment runs
    And backend servers have different service times
    When 40 callers send at once through both entry hosts
    Then every caller got the complete answer to its own request

  Scenario: A truncated answer is never forwarded
    Given the "release signature" deployment runs
    And one backend server of the first region truncates its answers
    When 20 stock requests are sent through entry host 1
    Then every complete answer belongs to its own request

  Scenario: Answers are complete while the leader is lost and a server reports a false load
    Given the "release signature" deployment runs
    And one backend server of the first region reports no load and takes 200 ms longer
    When the leader dies
    And 30 callers send at once through both entry hosts
    Then every complete answer belongs to its own request

  Scenario: Callers of a failed region are served from the other one
    Given the "feed order" deployment runs
    When 5 stock requests are sent through entry host 1
    And the first region fails
    And entry host 2 serves callers again
    And 20 stock requests are sent through entry host 2
    Then every complete answer belongs to its own request
    And the other region ran some of them
