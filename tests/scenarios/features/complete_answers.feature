Feature: Every caller receives the complete answer to its own request

  Scenario: Answers that arrive out of order reach their own callers
    Given the "feed order" deployment runs
    And backend servers take different times
    When 40 callers ask at once through both entry hosts
    Then every caller got the complete answer to its own request

  Scenario: An answer that breaks off is never passed on
    Given the "release signature" deployment runs
    And one backend server of the first region cuts its answers
    When 20 look-ups of stock are sent through entry host 1
    Then every complete answer belongs to its own request

  Scenario: Answers stay whole while the leader is lost and a server lies
    Given the "release signature" deployment runs
    And one backend server of the first region says it is idle and takes 200 ms
    When the leading control host dies
    And 30 callers ask at once through both entry hosts
    Then every complete answer belongs to its own request

  Scenario: Callers of a region that failed are served from the other one
    Given the "feed order" deployment runs
    When 5 look-ups of stock are sent through entry host 1
    And the first region fails
    And entry host 2 serves callers again
    And 20 look-ups of stock are sent through entry host 2
    Then every complete answer belongs to its own request
    And the other region ran some of them
