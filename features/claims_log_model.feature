Feature: No history of the claim log runs a key twice
  Scenario: All histories of two callers, three holders, their loss and the load of the log
    When all histories of the claim log are explored
    Then no history of the claim log runs the key twice
    And more than 10000 states were reached, many of them after a load

  Scenario Outline: The exploration finds a double run when <rule>
    When all histories of the claim log are explored while "<rule>"
    Then a history of the claim log that runs the key twice is found

    Examples:
      | rule                                                       |
      | a grant does not wait for the log                          |
      | a holder votes without the log while its mark may stand    |
      | a mark is set again before the claims are in the log       |
      | the log is not fenced before it is read                    |
      | one mark is enough                                         |
      | the mark of a holder that may vote counts                  |
      | the log names only the last claimant                       |
