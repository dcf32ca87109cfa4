Feature: Packages keep to their layers
  Scenario Outline: A package imports only what its layer allows
    Given the modules of "weirscale.<package>"
    When their imports of the project are listed
    Then each is of one of "<allowed>"

    Examples:
      | package     | allowed                                                    |
      | domain      | domain messages                                            |
      | messages    | messages domain                                            |
      | ports       | ports domain messages                                      |
      | leases      | leases ports domain                                        |
      | standins    | standins domain messages ports                             |
      | node        | node domain messages ports leases                          |
      | gateway     | gateway domain ports leases                                |
      | experiments | experiments node domain messages ports standins            |
      | cli         | cli experiments gateway node domain messages ports standins |

  Scenario Outline: Rules do no input or output and read no clock
    Given the modules of "weirscale.domain"
    When all their imports are listed
    Then none is of "<module>"

    Examples:
      | module     |
      | anyio      |
      | asyncio    |
      | trio       |
      | time       |
      | socket     |
      | httpx      |
      | hypercorn  |
      | threading  |
      | subprocess |

  Scenario Outline: The product starts no process and uses one concurrency library
    Given the modules of "weirscale"
    When all their imports are listed
    Then none is of "<module>"

    Examples:
      | module          |
      | subprocess      |
      | multiprocessing |
      | threading       |
      | asyncio         |
      | concurrent      |
