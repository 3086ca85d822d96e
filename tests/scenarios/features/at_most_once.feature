Feature: A request that may not be repeated runs at most once

  Scenario: The same feed order through two hosts at once is booked once
    Given the "feed order" deployment runs
    When "order-1" is sent through both entry hosts at once
    Then "order-1" ran 1 time
    And every answer to it that came is the same

  Scenario: A signature whose entry host dies is not signed again
    Given the "release signature" deployment runs
    And backend servers hold their requests
    When a caller sends "lot-7" through entry host 1 and waits
    And entry host 1 dies
    And entry host 1 starts again
    And "lot-7" is sent again through entry host 1 until it is told the end
    Then "lot-7" ran at most once
    And its outcome is told as done or as unknown, never as not run

  Scenario: A resend after the leader and then every control host restarted
    Given the "feed order" deployment runs
    When a caller sends "order-2" through entry host 1
    And the leading control host dies
    And another control host leads
    And "order-2" is sent again through entry host 2 until it is told the end
    And the control host that died starts again
    And all control hosts restart
    And "order-2" is sent again through entry host 1 until it is told the end
    Then "order-2" ran 1 time
    And every answer to it that came is the same

  Scenario: A second loss right after a repair does not bring a signature back
    Given the "release signature" deployment runs
    When a caller sends "lot-8" through entry host 1
    And a control host loses its disk and is repaired
    And another control host is lost right after
    And "lot-8" is sent again through entry host 2 until it is told the end
    Then "lot-8" ran 1 time
    And every answer to it that came is the same

  Scenario: The same key with another body is refused
    Given the "feed order" deployment runs
    When a caller sends "order-3" through entry host 1
    And "order-3" with another body is sent through entry host 2
    Then the last caller is refused as not run with KEY_REUSED
    And "order-3" ran 1 time
