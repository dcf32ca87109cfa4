Feature: Expected delays between zones
  Scenario Outline: The delay follows from what the configuration says of regions
    Given the regions "<regions>"
    When a node of zone "bole-hall" asks for the delay to "<zone>"
    Then the delay is that of <relation>

    Examples:
      | regions                           | zone        | relation       |
      | bole-hall,kirkos-hall             | bole-hall   | the same zone  |
      | bole-hall,kirkos-hall             | kirkos-hall | the same region |
      | bole-hall,kirkos-hall;hall-aalst  | hall-aalst  | another region |
      | bole-hall;kirkos-hall             | kirkos-hall | another region |
      | bole-hall                         | nowhere     | another region |
      | none                              | bole-hall   | the same zone  |
      | none                              | kirkos-hall | another region |
