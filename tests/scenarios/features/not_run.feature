Feature: A request that is refused as "not run" has not run

  Scenario: Every server refuses before running the request
    Given the "feed order" deployment runs
    And every backend server refuses before running
    When 3 stock requests are sent through entry host 1
    Then the last caller is refused as not run with BACKEND_REFUSED
    And no backend server ran a request

  Scenario: An entry host without a lease refuses while the leader is lost
    Given the "feed order" deployment runs
    When entry host 1 is cut off from the control hosts
    And the leader dies
    And 3 stock requests are sent through entry host 1
    Then the last caller is refused as not run with NO_LEASE
    And no backend server ran a request
    And a look-up at entry host 1 is refused with NO_CONFIGURATION

  Scenario: A caller whose timeout is too short is refused at once
    Given the "release signature" deployment runs
    And backend servers have different service times
    When 20 stock requests are sent through entry host 1
    And backend servers block their requests
    And 8 callers wait at entry host 1
    And a caller with a timeout of 1 ms sends through entry host 1
    Then the last caller is refused as not run with DEADLINE_TOO_SHORT
    And no request that was refused as not run has run
