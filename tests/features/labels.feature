Feature: Every sample names the versions that produced it, and none is older than the bound
  An assistant that quotes old rules is a fault that members see.

  Scenario: Weights are published during the step
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the trainer publishes new weights
    Then the trainer has the whole lot of step 0

  Scenario: Weights are published twice during the step, past the bound
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the trainer publishes new weights
    And the trainer publishes new weights
    Then the trainer has the whole lot of step 0
    And every sample of step 0 is of version 2 or newer

  Scenario: Swaps fail partway, twice
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    And the next 2 swaps of each engine fail partway
    When the trainer asks for step 0
    And the trainer publishes new weights
    Then the trainer has the whole lot of step 0
    And every engine serves version 2 in the end

  Scenario: An engine whose swaps fail for good holds up no step
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    And every swap of engine-1 fails partway
    When the trainer asks for step 0
    And the trainer publishes new weights
    Then the trainer has the whole lot of step 0
    When the trainer publishes new weights
    And the trainer asks for step 1
    Then the trainer has the whole lot of step 1

  Scenario: An engine that ignores fencing numbers obeys a late order
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    And the engines ignore fencing numbers and obey the next order late
    When the trainer publishes new weights
    And the sidecar of engine-0 is killed
    And the trainer publishes new weights
    And the sidecar of engine-0 is started again
    And the trainer asks for step 0
    Then the trainer has the whole lot of step 0
    And every engine serves version 3 in the end

  Scenario: An engine is restarted with old weights during the step
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer publishes new weights
    And the trainer publishes new weights
    And the trainer asks for step 0
    And some samples of the step are finished
    And engine-1 comes back with version 1
    Then the trainer has the whole lot of step 0
    And every engine serves version 3 in the end

  Scenario: A sidecar is frozen across two swaps
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And the sidecar of engine-1 is frozen
    And the trainer publishes new weights
    And the trainer publishes new weights
    And 3.0 s pass
    And the sidecar of engine-1 wakes up
    Then the trainer has the whole lot of step 0
    And every engine serves version 3 in the end

  Scenario: Engines that name no versions, with swaps during the step
    Given a rollout fleet of 1 gateways and 3 engines that name no versions
    And a trainer with steps of 32 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the trainer publishes new weights
    Then the trainer has the whole lot of step 0

  Scenario: An engine that names no versions is restarted with old weights
    Given a rollout fleet of 1 gateways and 2 engines that name no versions
    And a trainer with steps of 32 samples
    When the trainer publishes new weights
    And the trainer asks for step 0
    And some samples of the step are finished
    And engine-1 comes back with version 1
    Then the trainer has the whole lot of step 0

  Scenario: Crossed and truncated streams
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    And the engines spoil the next 10 streams
    When the trainer asks for step 0
    Then the trainer has the whole lot of step 0
