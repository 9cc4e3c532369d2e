Feature: A request that must not repeat runs at most once
  A member's transfer is sent again when its confirmation is lost.

  Scenario: Resent through another gateway after a lost confirmation
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.5 s
    When a caller sends transfer "t1" through gateway 0 and gives up after 0.1 s
    And the caller sends transfer "t1" through gateway 1
    Then the caller has the answer of transfer "t1"
    And transfer "t1" ran once

  Scenario: The gateway is killed after the bytes left
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.5 s
    When a caller sends transfer "t1" through gateway 0
    And 1 transfers run at the workers
    And gateway 0 is killed
    And the caller sends transfer "t1" through gateway 1
    Then the caller has the answer of transfer "t1"
    And transfer "t1" ran once

  Scenario: The sidecar is killed between run and answer
    Given a bank of 2 gateways and 1 worker
    And each transfer takes 0.5 s
    When a caller sends transfer "t1" through gateway 0
    And 1 transfers run at the workers
    And the sidecar of bank-0 is killed
    And the sidecar of bank-0 is started again
    And every gateway sees bank-0 in service again
    And the caller sends transfer "t1" through gateway 1
    Then the last send of transfer "t1" came to "unknown"
    And transfer "t1" ran once

  Scenario: The sidecar is frozen past every deadline and woken
    Given a bank of 2 gateways and 1 worker
    When a caller takes a ticket for transfer "t1"
    And the sidecar of bank-0 is frozen
    And a caller sends transfer "t1" through gateway 0 with a deadline of 1.0 s
    And 4.0 s pass
    And the sidecar of bank-0 wakes up
    And every gateway sees bank-0 in service again
    And the caller sends transfer "t1" through gateway 1
    Then no send of transfer "t1" came to "not_run" although it ran
    And transfer "t1" ran at most once

  Scenario: Own key while the key-value service is out
    Given a bank of 2 gateways and 2 workers
    And the key-value service is out
    When a caller first sends own key "k1" through gateway 0
    Then the last send of transfer "k1" came to "not_run"
    And transfer "k1" ran 0 times

  Scenario: A resend of an own key while the key-value service is out is never called "not run"
    Given a bank of 2 gateways and 2 workers
    When a caller first sends own key "k1" through gateway 0
    And the key-value service is out
    And the caller sends own key "k1" again through gateway 1
    Then the last send of transfer "k1" came to "unknown"
    And transfer "k1" ran once

  Scenario: Own key whose assignment is written but the answer is lost
    Given a bank of 2 gateways and 2 workers
    And the key-value service loses the next 1 answers after the write
    When a caller first sends own key "k1" through gateway 0
    And the caller sends own key "k1" again through gateway 1
    Then the caller has the answer of transfer "k1"
    And transfer "k1" ran once

  Scenario: Two resends of an own key race through two gateways
    Given a bank of 2 gateways and 2 workers
    And each transfer takes 0.3 s
    When a caller sends 20 own keys through both gateways at once
    Then every one of the 20 own keys ran once and both sends have its answer

  Scenario: A planned stop leaves a definite word
    Given a bank of 2 gateways and 1 worker
    When a caller sends transfer "t1" through gateway 0
    Then the caller has the answer of transfer "t1"
    When a caller takes a ticket for transfer "t2"
    And the sidecar of bank-0 is asked to stop
    And the sidecar of bank-0 has stopped
    And the sidecar of bank-0 is started again
    And every gateway sees bank-0 in service again
    And the caller sends transfer "t1" through gateway 1
    Then the last send of transfer "t1" came to "ran"
    When the caller sends transfer "t2" through gateway 1
    Then the last send of transfer "t2" came to "not_run"
    And transfer "t1" ran once
    And transfer "t2" ran 0 times

  Scenario: An old gateway that wakes up does not run what was called "not run"
    Given a bank of 2 gateways and 1 worker
    When a caller takes a ticket for transfer "t1"
    And gateway 0 is frozen
    And a caller sends transfer "t1" through gateway 0 with a deadline of 60.0 s
    And the endpoint bank-0 is drained through gateway 1
    And the caller sends transfer "t1" through gateway 1
    Then the last send of transfer "t1" came to "not_run"
    When the drain of bank-0 is undone through gateway 1
    And gateway 0 wakes up
    Then all sends of transfer "t1" have ended
    And transfer "t1" ran 0 times

  Scenario: The sidecar is frozen twice, with resends through both gateways
    Given a bank of 2 gateways and 1 worker
    And each transfer takes 0.3 s
    When a caller takes a ticket for transfer "t1"
    And the sidecar of bank-0 is frozen
    And a caller sends transfer "t1" through gateway 0
    And 2.5 s pass
    And the sidecar of bank-0 wakes up
    And the sidecar of bank-0 is frozen
    And a caller sends transfer "t1" through gateway 1
    And 2.5 s pass
    And the sidecar of bank-0 wakes up
    And every gateway sees bank-0 in service again
    And the caller sends transfer "t1" through gateway 1
    Then no send of transfer "t1" came to "not_run" although it ran
    And transfer "t1" ran at most once

  Scenario: The window and the lease of an own key lapse while its sidecar is frozen
    Given a bank of 2 gateways and 2 workers with a key window of 4.0 s
    When a caller first sends own key "k1" through gateway 0
    And both sidecars of the bank are frozen
    And a caller sends own key "k2" through gateway 0 without waiting
    And 7.0 s pass
    And both sidecars of the bank wake up
    And every gateway sees bank-0 in service again
    And every gateway sees bank-1 in service again
    Then all sends of transfer "k2" have ended
    And transfer "k1" ran once
    And transfer "k2" ran 0 times

  Scenario: A gateway that holds a lease is frozen past it and woken
    Given a bank of 2 gateways and 2 workers with a key window of 4.0 s
    When a caller first sends own key "k1" through gateway 0
    And gateway 0 is frozen
    And 6.0 s pass
    And gateway 0 wakes up
    And a caller first sends own key "k2" through gateway 0
    And the caller sends own key "k2" again through gateway 1
    Then the caller has the answer of transfer "k2"
    And transfer "k2" ran once

  Scenario: The service has forgotten assignments of own keys
    Given a bank of 2 gateways and 2 workers
    And the key-value service keeps a copy
    When a caller first sends own key "k1" through gateway 0
    And an operator declares the data centre "dc-2" through gateway 0
    And the key-value service is restored from the copy
    And an operator declares the data centre "dc-3" through gateway 0
    And the caller sends own key "k1" again through gateway 0
    Then the last send of transfer "k1" came to "unknown"
    When a caller sends transfer "t1" through gateway 0
    Then the caller has the answer of transfer "t1"
    When an operator confirms at gateway 0
    And the caller sends own key "k1" again through gateway 0
    Then the caller has the answer of transfer "k1"
    And transfer "k1" ran once

  Scenario Outline: 240 transfers under faults drawn from seed <seed>
    Given a bank of 2 gateways and 2 workers
    When 240 transfers are sent and resent under faults drawn from seed <seed>
    Then no transfer ran twice
    And every transfer called "not run" ran 0 times
    And every transfer that has an answer ran once

    Examples:
      | seed |
      | 1    |
      | 2    |
