Feature: When a caller is refused with "not run", the request truly did not run

  Scenario: Every server refuses before running
    Given the "feed order" deployment runs
    And every backend server refuses before running
    When 3 look-ups of stock are sent through entry host 1
    Then the last caller is refused as not run with BACKEND_REFUSED
    And no request reached a backend server

  Scenario: An entry host without a lease refuses, whatever else fails
    Given the "feed order" deployment runs
    When entry host 1 is cut off from control
    And the leading control host dies
    And 3 look-ups of stock are sent through entry host 1
    Then the last caller is refused as not run with NO_LEASE
    And no request reached a backend server
    And a look-up at entry host 1 is refused with NO_CONFIGURATION

  Scenario: A caller whose time is too short is refused at once
    Given the "release signature" deployment runs
    And backend servers take different times
    When 20 look-ups of stock are sent through entry host 1
    And backend servers hold their requests
    And 8 callers wait at entry host 1
    And a caller with 1 ms left asks entry host 1
    Then the last caller is refused as not run with DEADLINE_TOO_SHORT
    And every caller that was refused as not run truly did not run
