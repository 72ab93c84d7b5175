/**
 * The dependency rules of the program. Its directories form layers: a module may import from its own
 * directory and from the layers below. See docs/architecture.md.
 */

/** The layers, lowest first. The directories of one layer do not import from each other. */
const LAYERS = [
  ['runtime', 'wire'],
  ['http', 'settings'],
  ['store', 'peers'],
  ['model'],
  ['jobs'],
  ['workers'],
  ['placement'],
  ['fleet', 'leadership'],
  ['leader'],
  ['operators'],
  ['api'],
];

const CONTROLLER = 'src/controller';

const pathOf = (directories) => `^${CONTROLLER}/(${directories.join('|')})/`;

/**
 * One rule for each directory: its modules import neither from the other directories of its layer,
 * nor from the layers above, nor from node/ or the files directly below the controller's directory.
 */
const layerRules = LAYERS.flatMap((layer, index) =>
  layer.map((directory) => {
    const above = LAYERS.slice(index + 1).flat();
    const beside = layer.filter((other) => other !== directory);
    return {
      name: `layer-${directory}`,
      severity: 'error',
      from: { path: pathOf([directory]), pathNot: '[.]test[.]ts$' },
      to: { path: `${pathOf([...above, ...beside])}|^${CONTROLLER}/(node/|[^/]+$)` },
    };
  }),
);

export default {
  forbidden: [
    { name: 'no-cycles', severity: 'error', from: {}, to: { circular: true } },
    {
      name: 'tests-stay-outside',
      severity: 'error',
      from: { path: '^src/', pathNot: '[.]test[.]ts$' },
      to: { path: '^test/|[.]test[.]ts$' },
    },
    ...layerRules,
  ],
  options: {
    tsPreCompilationDeps: true,
    tsConfig: { fileName: 'tsconfig.json' },
    doNotFollow: { path: 'node_modules' },
    exclude: { path: 'node_modules' },
  },
};
