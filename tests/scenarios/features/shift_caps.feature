Feature: A shift of traffic never exceeds the cap the operator set for it

  Scenario: A planned shift stays within its percent cap
    Given the "feed order" deployment runs
    When a shift of 10 percent to the second region is applied
    And 120 stock requests are sent through entry host 1
    Then at most 10 percent of them were shifted
    And some of them were shifted

  Scenario: A host that is cut off while the leader dies shifts no requests
    Given the "feed order" deployment runs
    When a shift of 50 percent to the second region is applied
    And the leader dies
    And entry host 1 is cut off from the control hosts
    And 10 stock requests are sent through entry host 1
    Then none of them was shifted
    And no request that was refused as not run has run

  Scenario: A lowered cap that is reported in force holds while a control host is cut off
    Given the "release signature" deployment runs
    When a shift of 50 percent to the second region is applied
    And the leader is cut off without notice
    And a shift of 5 percent to the second region is applied
    And 60 stock requests are sent through entry host 1
    Then at most 5 percent of them were shifted

  Scenario: A shift stays within its cap after the loss of the leader
    Given the "release signature" deployment runs
    When a shift of 20 percent to the second region is applied
    And the leader dies
    And another control host becomes leader
    And 60 stock requests are sent through entry host 1
    Then at most 20 percent of them were shifted
