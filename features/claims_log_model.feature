Feature: Exhaustive check of the claim log
  Guards against a history of votes, marks, restarts and log writes in which one key runs twice.
  Each rule of the log is also broken on purpose, to show that the exploration notices it.

  Scenario: All histories of two callers and three holders that are lost, after which the log is loaded
    When all histories of the claim log are explored
    Then no history of the claim log runs the key twice
    And more than 10000 states were reached, more than a tenth of that number after a load

  Scenario Outline: The exploration finds a key that runs twice when <rule>
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
