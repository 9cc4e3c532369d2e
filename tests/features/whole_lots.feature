Feature: Every step gets a whole lot, each sample exactly once
  A lost or doubled rollout spoils a step.

  Scenario: The gateway is killed in the middle of a step
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And gateway 0 is killed
    Then the trainer has the whole lot of step 0

  Scenario: A sidecar is killed while it holds finished samples
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the sidecar of engine-1 is killed
    And the sidecar of engine-1 is started again
    Then the trainer has the whole lot of step 0

  Scenario: Two faults together, a sidecar killed and a gateway killed
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the sidecar of engine-1 is killed
    And gateway 0 is killed
    And the sidecar of engine-1 is started again
    Then the trainer has the whole lot of step 0

  Scenario: The gateway and a sidecar are killed twice
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 128 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And gateway 0 is killed
    And the sidecar of engine-1 is killed
    And gateway 0 is started again
    And the sidecar of engine-1 is started again
    And gateway 1 is killed
    And the sidecar of engine-1 is killed
    And gateway 1 is started again
    And the sidecar of engine-1 is started again
    Then the trainer has the whole lot of step 0

  Scenario: The trainer's connection is cut during the lot
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer's connection is cut after 10 samples of step 0
    And the trainer asks for step 0
    Then the trainer has the whole lot of step 0
    And the samples before the cut are those of the lot

  Scenario: The acknowledgement is lost and a closed step is asked for again
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    Then the trainer has the whole lot of step 0
    When the trainer acknowledges step 0 and loses the answer
    And the trainer acknowledges step 0
    Then step 0 is refused as already delivered through gateway 0
    And step 0 is refused as already delivered through gateway 1
    When the sidecar of engine-0 is killed
    And the sidecar of engine-1 is killed
    And the sidecar of engine-2 is killed
    And gateway 1 is killed
    And the sidecar of engine-0 is started again
    And the sidecar of engine-1 is started again
    And the sidecar of engine-2 is started again
    And gateway 1 is started again
    Then step 0 is refused as already delivered through gateway 1

  Scenario: Every gateway and sidecar is restarted after the acknowledgement
    Given a rollout fleet of 1 gateways and 2 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    Then the trainer has the whole lot of step 0
    When the trainer acknowledges step 0
    And gateway 0 is killed
    And the sidecar of engine-0 is killed
    And the sidecar of engine-1 is killed
    And the sidecar of engine-0 is started again
    And the sidecar of engine-1 is started again
    And gateway 0 is started again
    Then step 0 is refused as already delivered through gateway 0

  Scenario: The same step is sent to two gateways at once
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When step 0 is sent to both gateways at once with the same call number
    Then one call brought the whole lot and the other none

  Scenario: An old gateway wakes up in the middle of a step
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0 through gateway 0 only
    And some samples of the step are finished
    And gateway 0 is frozen
    And the trainer asks for step 0 through gateway 1
    Then the trainer has the whole lot of step 0
    When the trainer acknowledges step 0
    And gateway 0 wakes up
    Then the call through gateway 0 brought no lot

  Scenario: 20 steps of 256 samples under faults drawn from a seed
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 256 samples
    When the trainer takes 20 steps under faults drawn from seed 3
    Then all 20 lots were whole and no sample came twice
    And every closed step is refused
