Feature: A request that is not safe to retry runs at most once

  Scenario: A feed order that is sent through two hosts at once runs once
    Given the "feed order" deployment runs
    When "order-1" is sent through both entry hosts at once
    Then "order-1" ran 1 time
    And every complete answer to it is the same

  Scenario: A signature request whose entry host dies does not run again
    Given the "release signature" deployment runs
    And backend servers block their requests
    When a caller sends "lot-7" through entry host 1 and waits
    And entry host 1 dies
    And entry host 1 starts again
    And "lot-7" is sent again through entry host 1 until its outcome is known
    Then "lot-7" ran at most once
    And its outcome is reported as done or unknown, never as not run

  Scenario: A retry after restarts of the leader and of all control hosts does not run again
    Given the "feed order" deployment runs
    When a caller sends "order-2" through entry host 1
    And the leader dies
    And another control host becomes leader
    And "order-2" is sent again through entry host 2 until its outcome is known
    And the control host that died starts again
    And all control hosts restart
    And "order-2" is sent again through entry host 1 until its outcome is known
    Then "order-2" ran 1 time
    And every complete answer to it is the same

  Scenario: A signature request does not run again if a second control host is lost after a rejoin
    Given the "release signature" deployment runs
    When a caller sends "lot-8" through entry host 1
    And a control host loses its disk and rejoins as a voter
    And another control host is lost immediately afterwards
    And "lot-8" is sent again through entry host 2 until its outcome is known
    Then "lot-8" ran 1 time
    And every complete answer to it is the same

  Scenario: The same key with another body is refused
    Given the "feed order" deployment runs
    When a caller sends "order-3" through entry host 1
    And "order-3" with another body is sent through entry host 2
    Then the last caller is refused as not run with KEY_REUSED
    And "order-3" ran 1 time
