Feature: A version is rolled out and withdrawn

  Scenario: New sessions move through the stages, running ones stay
    Given a fleet whose drafter rolls out version 2
    And a session on version 1
    When the operator advances the roll-out to its last stage
    Then a new session runs on version 2
    And the session still runs on version 1

  Scenario: A withdrawn version receives no new work
    Given a fleet whose drafter rolls out version 2
    And the operator has advanced the roll-out to its last stage
    And a session on version 2
    When the operator withdraws version 2
    Then the session is refused with version-withdrawn and did not run
    And a new session runs on version 1

  Scenario: A customer that may use only version 1 stays on it
    Given a fleet whose drafter rolls out version 2
    When the operator advances the roll-out to its last stage
    Then a new session of the narrow customer runs on version 1
