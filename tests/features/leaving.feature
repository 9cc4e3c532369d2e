Feature: An endpoint that leaves gets no new work, and a planned stop cuts nothing off

  Scenario: An operator drains an endpoint under load
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.05 s
    When callers keep making transfers by the client library
    And the operator drains bank-0
    And every gateway sees bank-0 leave
    And 0.5 s pass
    Then bank-0 gets no new transfers
    And every transfer sent so far was answered

  Scenario: The box list says late that a box leaves
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.05 s
    When callers keep sending transfers
    And the box of bank-0 leaves
    And every gateway sees bank-0 leave
    And 0.5 s pass
    Then bank-0 gets no new transfers
    And every transfer sent so far was answered

  Scenario: A sidecar is asked to stop while a transfer runs
    Given a bank of 2 gateways and 1 worker
    And each transfer takes 1.5 s
    When a caller sends transfer "t1" through gateway 0
    And 1 transfers run at the workers
    And the sidecar of bank-0 is asked to stop
    Then the sidecar of bank-0 stops and transfer "t1" was answered

  Scenario: A gateway is asked to stop while a transfer runs
    Given a bank of 2 gateways and 1 worker
    And each transfer takes 2.5 s
    When a caller sends transfer "t1" through gateway 0
    And 1 transfers run at the workers
    And gateway 0 is asked to stop
    Then gateway 0 stops and transfer "t1" was answered

  Scenario: A sidecar is asked to stop in the middle of a step
    Given a rollout fleet of 1 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And the sidecar of engine-1 is asked to stop
    Then the trainer has the whole lot of step 0
    And no finished sample ran a second time
    And the sidecar of engine-1 has stopped

  Scenario: A gateway is asked to stop in the middle of a step
    Given a rollout fleet of 2 gateways and 3 engines
    And a trainer with steps of 64 samples
    When the trainer asks for step 0
    And some samples of the step are finished
    And gateway 0 is asked to stop
    Then the trainer has the whole lot of step 0
    And the trainer asked once
