Feature: Exhaustive check of the claim protocol
  Guards against a history of votes, restarts, changes of epoch and lost, duplicated or late messages
  in which one key runs twice. Each rule is also broken on purpose, to show that the check notices it.

  Scenario: Two callers, three holders, a restart and a change of epoch
    When every history of the claim protocol is explored
    Then no history runs the key twice
    And more than 10000 states were reached

  Scenario Outline: The check finds a history that runs the key twice when <broken rule>
    When every history of the claim protocol is explored with the fault that <broken rule>
    Then a history that grants both callers is found

    Examples:
      | broken rule                            |
      | one holder's claims are enough         |
      | a sealed holder votes                  |
      | a holder changes its vote              |
      | a restarted holder answers             |
      | holders are not sealed before the copy |
      | an ambiguous copy names one claimant   |
