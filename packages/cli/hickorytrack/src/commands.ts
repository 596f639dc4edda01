/** The command table that oclif loads: command ids with their classes. */
import {ConfigCheck} from './config-commands.js';
import {
	ContractApply, ContractDiff, ContractGet, ContractHistory, ContractList, ContractRemove,
} from './contract-commands.js';
import {
	ChangeCancel, ChangeList, ChangeShow, EndpointDrain, EndpointList, EndpointLoad, EndpointReplace, EndpointRestore, EndpointShow, EndpointWithdraw, RoleSet,
} from './endpoint-commands.js';
import {
	ConfigGet, ConfigSet, ControllerAdd, ControllerList, ControllerRemove, ControllerReplace, QuarantineLift, QuarantineList, StateDump, Status, Tail,
} from './deployment-commands.js';
import {RoleExplain, RoleReplay} from './role-commands.js';

export const commands = {
	'contract:apply': ContractApply,
	'contract:diff': ContractDiff,
	'contract:get': ContractGet,
	'contract:history': ContractHistory,
	'contract:list': ContractList,
	'contract:remove': ContractRemove,
	'change:cancel': ChangeCancel,
	'change:list': ChangeList,
	'change:show': ChangeShow,
	'config:check': ConfigCheck,
	'config:get': ConfigGet,
	'config:set': ConfigSet,
	'controller:add': ControllerAdd,
	'controller:list': ControllerList,
	'controller:remove': ControllerRemove,
	'controller:replace': ControllerReplace,
	'endpoint:drain': EndpointDrain,
	'endpoint:list': EndpointList,
	'endpoint:load': EndpointLoad,
	'endpoint:replace': EndpointReplace,
	'endpoint:restore': EndpointRestore,
	'endpoint:show': EndpointShow,
	'endpoint:withdraw': EndpointWithdraw,
	'quarantine:lift': QuarantineLift,
	'quarantine:list': QuarantineList,
	'role:explain': RoleExplain,
	'role:replay': RoleReplay,
	'role:set': RoleSet,
	'state:dump': StateDump,
	status: Status,
	tail: Tail,
};
