Feature: Contract of the machine list port, in process and over HTTP
  Guards against a machine list that is reported as empty or wrong when it could not be read, and
  against in-process and HTTP adapters that behave differently.

  Scenario Outline: The machine list at one moment, through both adapters
    When the machine list's "<step>" runs over the <adapter> adapter
    Then the machine list reads "<outcome>"

    Examples:
      | step                      | adapter    | outcome                    |
      | before the lag has passed | in-process | 10.0.0.1                   |
      | before the lag has passed | HTTP       | 10.0.0.1                   |
      | after the lag             | in-process | 10.0.0.1 leaving, 10.0.0.2 |
      | after the lag             | HTTP       | 10.0.0.1 leaving, 10.0.0.2 |
      | after a removal           | in-process | 10.0.0.2                   |
      | after a removal           | HTTP       | 10.0.0.2                   |
      | a machine wrongly omitted | in-process | 10.0.0.1 leaving           |
      | a machine wrongly omitted | HTTP       | 10.0.0.1 leaving           |
      | down                      | in-process | unreadable                 |
      | down                      | HTTP       | unreadable                 |

  Scenario Outline: A broken exchange is reported as unreadable
    When the machine list's exchange ends in "<event>"
    Then the machine list reads "unreadable"

    Examples:
      | event                   |
      | a refused connection    |
      | an answer timeout       |
      | status 500              |
      | a body that is not JSON |
      | a list of numbers       |

  Scenario: A read of the machine list that takes too long times out
    When the machine list takes 10 s and the timeout is 3 s
    Then the machine list reads "unreadable"

  Scenario: The stand-in is changed over its admin paths
    When a machine is put, put and removed over HTTP with a lag of 0 s
    Then the machine list reads "10.0.0.8"
