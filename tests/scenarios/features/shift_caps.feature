Feature: A shift of traffic never exceeds the cap the operator set for it

  Scenario: A planned shift stays within its percent
    Given the "feed order" deployment runs
    When a shift of 10 percent to the second region is applied
    And 120 look-ups of stock are sent through entry host 1
    Then at most 10 percent of them were shifted
    And some of them were shifted

  Scenario: A host cut off from control, while the leader dies, shifts nothing
    Given the "feed order" deployment runs
    When a shift of 50 percent to the second region is applied
    And the leading control host dies
    And entry host 1 is cut off from control
    And 10 look-ups of stock are sent through entry host 1
    Then none of them was shifted
    And every caller that was refused as not run truly did not run

  Scenario: A cap that is tightened with a control host cut off is in force once reported
    Given the "release signature" deployment runs
    When a shift of 50 percent to the second region is applied
    And the leading control host is cut off without notice
    And a shift of 5 percent to the second region is applied
    And 60 look-ups of stock are sent through entry host 1
    Then at most 5 percent of them were shifted

  Scenario: A shift survives the loss of the leader within its cap
    Given the "release signature" deployment runs
    When a shift of 20 percent to the second region is applied
    And the leading control host dies
    And another control host leads
    And 60 look-ups of stock are sent through entry host 1
    Then at most 20 percent of them were shifted
