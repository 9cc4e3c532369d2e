Feature: An accepted configuration is in force everywhere within seconds and never reverts

  Scenario: Two operators race
    Given a rollout fleet of 2 gateways and 2 engines
    When two operators set the trainer's bound 20 times at the same revision each time
    Then each time one was accepted and the other told of the lost race
    And the accepted changes are in force on every process

  Scenario: The service goes out right after acceptance
    Given a rollout fleet of 2 gateways and 2 engines
    When an operator sets the trainer's bound to 5 through gateway 0
    And the key-value service is out
    Then the accepted changes are in force on every process

  Scenario: The service goes out twice, with a change between
    Given a rollout fleet of 2 gateways and 2 engines
    When an operator sets the trainer's bound to 5 through gateway 0
    And the key-value service is out
    And 1.0 s pass
    And the key-value service is back
    And an operator sets the trainer's bound to 6 through gateway 1
    And the key-value service is out
    Then the accepted changes are in force on every process
    And no process falls back from the accepted revision

  Scenario: A gateway is cut from the service but not from the sidecars
    Given a rollout fleet of 2 gateways and 2 engines
    And gateway 1 is cut from the key-value service
    When an operator sets the trainer's bound to 5 through gateway 0
    Then the accepted changes are in force on every process

  Scenario: The answer to an operator's write is lost
    Given a rollout fleet of 2 gateways and 2 engines
    And the key-value service loses the next 1 answers after the write
    When an operator sets the trainer's bound to 5 through gateway 0
    Then the operator's change was accepted once
    And the accepted changes are in force on every process

  Scenario: The answers to all of an operator's writes are lost
    Given a rollout fleet of 2 gateways and 2 engines
    And the key-value service loses the next 20 answers after the write
    When an operator sets the trainer's bound to 5 through gateway 0
    Then the operator's change was accepted once
    And the accepted changes are in force on every process

  Scenario: The service answers from an older copy
    Given a rollout fleet of 2 gateways and 2 engines
    And the key-value service answers reads from its present copy
    When an operator sets the trainer's bound to 5 through gateway 0
    And gateway 1 is killed
    And gateway 1 is started again
    Then no process falls back from the accepted revision

  Scenario: The service is restored from an older copy
    Given a rollout fleet of 2 gateways and 2 engines
    And the key-value service keeps a copy
    When an operator sets the trainer's bound to 5 through gateway 0
    And the key-value service is restored from the copy
    And an operator sets the trainer's bound to 6 through gateway 0
    Then the accepted changes are in force on every process
    And no process falls back from the accepted revision

  Scenario: Processes are restarted during an outage
    Given a rollout fleet of 2 gateways and 2 engines
    When an operator sets the trainer's bound to 5 through gateway 0
    And the key-value service is out
    And gateway 1 is killed
    And gateway 1 is started again
    And the sidecar of engine-0 is killed
    And the sidecar of engine-0 is started again
    Then the accepted changes are in force on every process

  Scenario: A change with findings is not accepted
    Given a rollout fleet of 1 gateways and 1 engines
    When an operator declares a trainer of an unknown pool with a negative bound
    Then all findings come back and nothing has changed
