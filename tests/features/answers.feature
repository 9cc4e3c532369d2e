Feature: Each caller receives the whole answer to its own request

  Scenario: Services cross, cut and delay answers
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.05 s
    And the services cross the next 20 and cut the next 20 answers
    When 120 callers call at once
    Then every caller got its own whole answer or a typed error
    And at least 40 callers got their answer

  Scenario: Engines cross and cut streams
    Given a rollout fleet of 2 gateways and 2 engines
    And the engines spoil the next 10 streams
    When 60 callers stream a model's answer at once
    Then every stream was whole and its own, or ended in a typed error

  Scenario: A caller's request is given up at once when no endpoint can take it
    Given a bank of 1 gateways and 1 worker
    When a caller takes a ticket for transfer "t1"
    And the endpoint bank-0 is drained through gateway 0
    And a caller sends transfer "t1" through gateway 0 with a deadline of 30.0 s
    Then the refusal of transfer "t1" came long before the deadline with a time to come back

  Scenario: Bad input gets a typed error that names the place
    Given a rollout fleet of 1 gateways and 1 engines
    Then each malformed request is refused with its place and the gateway goes on
